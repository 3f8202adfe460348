#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "pollenledge/process/usage_ledger.h"
#include "pollenledge/result.h"

namespace pollenledge {

/// Names the holder of a duty in a call, so that a call of an earlier holder
/// can be told apart.
struct DutyStamp {
  std::string owner;
  std::int64_t fence = 0;  ///< Grows when the holder changes.
  /// No call may be sent at this time or later: another node may hold it then.
  TimePoint valid_until;

  friend bool operator==(const DutyStamp&, const DutyStamp&) = default;
};

/// How many upstreams of one market a service shall have in a failure domain.
struct UpstreamOrder {
  std::string service;
  std::string domain;
  int count = 0;
  bool reclaimable = false;

  friend bool operator==(const UpstreamOrder&, const UpstreamOrder&) = default;
};

/// The cloud API's calls that are the duty of one node at a time. Each call
/// returns at once and hands its result to the callback once, on the loop's
/// thread. `kConflict` means that no such upstream is to be had there now.
class AsyncCloud {
 public:
  using Callback = std::function<void(Status)>;

  virtual ~AsyncCloud() = default;

  virtual void ReportUsage(UsageWindow window, const UsageCounts& counts,
                           const DutyStamp& stamp, Callback callback) = 0;
  virtual void OrderUpstreams(const UpstreamOrder& order,
                              const DutyStamp& stamp, Callback callback) = 0;
};

}  // namespace pollenledge
