#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>

#include "pollenledge/request/request.h"
#include "pollenledge/time.h"

namespace pollenledge {

/// One upstream instance, as described by the platform's list and the pool
/// table.
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

/// A model engine's or plain service's report of its own load. It is received
/// with a lag and therefore describes a past state.
struct LoadReport {
  int running = 0;  ///< Requests that run now.
  int waiting = 0;  ///< Requests queued at the upstream.
  double prefill_tokens_per_s = 0;
  double inter_token_latency_ms = 0;  ///< With the reported number of requests.
  Duration lag{0};                    ///< Age of the values when sent.

  friend bool operator==(const LoadReport&, const LoadReport&) = default;
};

/// The predicted latencies of a request that is sent to an upstream now.
struct LatencyPrediction {
  Duration time_to_first_token{0};
  Duration inter_token_latency{0};
  bool has_slot = true;  ///< False if the request would wait for a slot.

  friend bool operator==(const LatencyPrediction&,
                         const LatencyPrediction&) = default;
};

/// The live entries that receive the same reports, and this entry's position
/// among them.
struct EntryGroup {
  int count = 1;
  int ordinal = 0;  ///< Position of this entry by name, from 0.

  friend bool operator==(const EntryGroup&, const EntryGroup&) = default;
};

/// Returns this entry's share of an upstream's slots. The shares of all entries
/// add up to `slots`; the entries that get the remainder of the division differ
/// from upstream to upstream.
int SlotQuota(int slots, std::size_t upstream_ordinal,
              const EntryGroup& entries);

/// Estimates an upstream's load from its lagging reports, from the requests
/// that this node has sent since, and from observed latencies compared with the
/// predicted ones.
///
/// Several entries receive the same report. Each assumes that the others behave
/// like itself and multiplies its own dispatches since the report by the number
/// of entries, so that they do not all choose the upstream that looked idle.
/// Each entry may fill its own quota of the slots regardless of the reports, so
/// that it can immediately reuse a slot that its own request has released.
///
/// Lives as long as the upstream's entry in the upstream table. Not
/// thread-safe.
class UpstreamLoad {
 public:
  void OnReport(const LoadReport& report, TimePoint now);
  void OnDispatch(TimePoint now);
  void OnRequestFinished();
  /// Updates the slowdown factor from a predicted and an observed time to first
  /// token.
  void OnFirstToken(Duration predicted, Duration observed);
  /// Updates the smoothed inter-token latency with the mean of one response.
  void OnInterTokenLatency(Duration observed);

  /// Predicts the latencies of a new request. `quota` is this entry's share of
  /// the slots and `distance` the one-way network delay to the upstream's
  /// failure domain.
  LatencyPrediction Predict(std::int64_t uncached_prompt_tokens, int slots,
                            int quota, int entries, Duration distance) const;

  /// Estimates the number of requests that all entries together have on the
  /// upstream now.
  int EstimatedRequests(int entries) const;

  int local_requests() const { return local_requests_; }
  /// How many times slower than predicted the upstream has been; 1 means as
  /// predicted.
  double slowdown_factor() const { return slowdown_factor_; }

 private:
  static constexpr std::size_t kMaxRecentDispatches = 64;

  int CountDispatchesSince(TimePoint since) const;

  LoadReport report_;
  TimePoint measured_at_;
  bool has_report_ = false;
  int local_requests_ = 0;
  double slowdown_factor_ = 1;
  Duration observed_inter_token_latency_{0};
  std::array<TimePoint, kMaxRecentDispatches> dispatches_{};
  std::size_t dispatch_count_ = 0;
};

}  // namespace pollenledge
