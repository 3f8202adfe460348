#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>

#include "pollenledge/request/request.h"
#include "pollenledge/time.h"

namespace pollenledge {

/// One upstream instance, as the platform's list and the pool table give it.
struct UpstreamInfo {
  UpstreamId id;
  std::string address;  ///< `host:port`.
  std::string pool;
  std::string domain;
  std::string machine_class;
  bool reclaimable = true;
  std::int64_t price_micros_per_hour = 0;
  int slots = 1;

  friend bool operator==(const UpstreamInfo&, const UpstreamInfo&) = default;
};

/// What a model engine or plain service reports of its own load. Arrives with
/// a lag, so it describes the past.
struct LoadReport {
  int running = 0;
  int waiting = 0;
  double prefill_tokens_per_s = 0;
  double between_tokens_ms = 0;  ///< At the reported number of requests.
  Duration lag{0};               ///< Age of the figures when they were sent.

  friend bool operator==(const LoadReport&, const LoadReport&) = default;
};

/// What an upstream would give a request that is sent to it now.
struct LatencyPrediction {
  Duration first_token{0};
  Duration between_tokens{0};
  bool has_slot = true;  ///< False if the request would wait for a slot.

  friend bool operator==(const LatencyPrediction&,
                         const LatencyPrediction&) = default;
};

/// The live entries that see the same reports, and the place of this one.
struct EntryGroup {
  int count = 1;
  int ordinal = 0;  ///< Place of this entry by name, from 0.

  friend bool operator==(const EntryGroup&, const EntryGroup&) = default;
};

/// This entry's part of an upstream's slots. The parts of all entries add up to
/// the slots; which entries get the odd ones differs between upstreams.
int SlotQuota(int slots, std::size_t upstream_ordinal,
              const EntryGroup& entries);

/// Joins an upstream's lagging reports with what this node has sent since,
/// and with how its answers came compared with the prediction.
///
/// Several entries see the same report. Each assumes that the others behave
/// as it does and counts its own dispatches since the report once for each
/// entry, so that they do not all send to the one that looked idle. Its quota
/// of the slots each entry may fill whatever the reports say, so that a slot
/// that its own request leaves can be used again at once.
///
/// Lives as long as the connection to the upstream. Not thread-safe.
class UpstreamLoad {
 public:
  void OnReport(const LoadReport& report, TimePoint now);
  void OnDispatch(TimePoint now);
  void OnEnd();
  /// Takes the observed time to the first token, against the predicted one.
  void OnFirstToken(Duration predicted, Duration observed);
  /// Takes the mean time between tokens of one answer.
  void OnBetweenTokens(Duration observed);

  /// `quota` is this entry's part of the slots; `distance` the one-way time to
  /// the upstream's failure domain.
  LatencyPrediction Predict(std::int64_t uncached_prompt_tokens, int slots,
                            int quota, int entries, Duration distance) const;

  /// Requests that are estimated to be on the upstream now, of all entries.
  int EstimatedRequests(int entries) const;

  int own_requests() const { return own_requests_; }
  /// How much slower than predicted the upstream has been; 1 is as predicted.
  double slowness() const { return slowness_; }

 private:
  static constexpr std::size_t kRecentDispatches = 64;

  int DispatchedSince(TimePoint since) const;

  LoadReport report_;
  TimePoint measured_at_;
  bool has_report_ = false;
  int own_requests_ = 0;
  double slowness_ = 1;
  Duration observed_between_tokens_{0};
  std::array<TimePoint, kRecentDispatches> dispatches_{};
  std::size_t dispatch_count_ = 0;
};

}  // namespace pollenledge
