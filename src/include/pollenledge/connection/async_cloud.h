#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "pollenledge/process/usage_ledger.h"
#include "pollenledge/result.h"

namespace pollenledge {

/// Identifies the node that holds the lease of a fleet-wide duty in a call to
/// the cloud API, so that the API can reject calls of an earlier lease holder.
struct DutyFence {
  std::string owner;
  std::int64_t token = 0;  ///< Increases whenever the owner changes.
  /// No call may be sent at this time or later, because another node may hold
  /// the lease by then.
  TimePoint valid_until;

  friend bool operator==(const DutyFence&, const DutyFence&) = default;
};

/// The number of upstreams that a service should have in a failure domain,
/// counted separately for reclaimable and on-demand instances.
struct ScaleRequest {
  std::string service;
  std::string domain;
  int count = 0;
  bool reclaimable = false;

  friend bool operator==(const ScaleRequest&, const ScaleRequest&) = default;
};

/// Interface to the cloud API calls that only one node makes at a time, namely
/// the lease holder of the respective fleet-wide duty.
///
/// Each call returns immediately and invokes its callback exactly once, on the
/// event loop's thread. The error `kConflict` means that no capacity of the
/// requested kind is available in that failure domain at present.
class AsyncCloud {
 public:
  using Callback = std::function<void(Status)>;

  virtual ~AsyncCloud() = default;

  virtual void ReportUsage(UsageWindow window, const UsageCounts& counts,
                           const DutyFence& fence, Callback callback) = 0;
  virtual void RequestScale(const ScaleRequest& request, const DutyFence& fence,
                            Callback callback) = 0;
};

}  // namespace pollenledge
