#include "pollenledge/connection/upstream.h"

#include <algorithm>

namespace pollenledge {
namespace {

constexpr double kDefaultPrefillTokensPerSecond = 8000;
constexpr double kDefaultInterTokenLatencyMs = 20;
// Assumed mean time that a request occupies a slot, for estimating how long a
// request waits for one.
constexpr Duration kTypicalSlotHoldTime = std::chrono::seconds(2);
constexpr double kSlowdownSmoothingWeight = 0.3;
constexpr double kMaxSlowdownFactor = 50;
constexpr double kInterTokenLatencySmoothingWeight = 0.3;
// Latencies are raised to this minimum before their ratio is taken, because
// ratios of smaller ones reflect network noise rather than the upstream.
constexpr Duration kMinComparedLatency = std::chrono::milliseconds(10);

}  // namespace

int SlotQuota(int slots, std::size_t upstream_ordinal,
              const EntryGroup& entries) {
  const int count = std::max(1, entries.count);
  const int position = static_cast<int>(
      (static_cast<std::size_t>(entries.ordinal) + upstream_ordinal) %
      static_cast<std::size_t>(count));
  return slots / count + (position < slots % count ? 1 : 0);
}

void UpstreamLoad::OnReport(const LoadReport& report, TimePoint now) {
  report_ = report;
  measured_at_ = now - report.lag;
  has_report_ = true;
}

void UpstreamLoad::OnDispatch(TimePoint now) {
  dispatches_[dispatch_count_ % kMaxRecentDispatches] = now;
  ++dispatch_count_;
  ++local_requests_;
}

void UpstreamLoad::OnRequestFinished() {
  local_requests_ = std::max(0, local_requests_ - 1);
}

void UpstreamLoad::OnFirstToken(Duration predicted, Duration observed) {
  const double ratio = ToSeconds(std::max(observed, kMinComparedLatency)) /
                       ToSeconds(std::max(predicted, kMinComparedLatency));
  const double observed_slowdown =
      std::clamp(ratio * slowdown_factor_, 1.0, kMaxSlowdownFactor);
  slowdown_factor_ +=
      kSlowdownSmoothingWeight * (observed_slowdown - slowdown_factor_);
}

void UpstreamLoad::OnInterTokenLatency(Duration observed) {
  if (observed_inter_token_latency_.count() == 0) {
    observed_inter_token_latency_ = observed;
    return;
  }
  const double change =
      kInterTokenLatencySmoothingWeight *
      static_cast<double>((observed - observed_inter_token_latency_).count());
  observed_inter_token_latency_ += Duration(static_cast<std::int64_t>(change));
}

LatencyPrediction UpstreamLoad::Predict(std::int64_t uncached_prompt_tokens,
                                        int slots, int quota, int entries,
                                        Duration distance) const {
  const int requests = EstimatedRequests(entries);
  const double prefill_rate = report_.prefill_tokens_per_s > 0
                                  ? report_.prefill_tokens_per_s
                                  : kDefaultPrefillTokensPerSecond;
  const Duration prefill =
      FromSeconds(static_cast<double>(uncached_prompt_tokens) / prefill_rate);
  LatencyPrediction prediction;
  prediction.has_slot = local_requests_ < quota || requests < slots;
  const int excess_requests = std::max(0, requests - slots + 1);
  const Duration slot_wait =
      kTypicalSlotHoldTime * excess_requests / std::max(1, slots);
  const Duration prefill_time =
      FromSeconds(ToSeconds(prefill) * slowdown_factor_);
  prediction.time_to_first_token = prefill_time + slot_wait + 2 * distance;
  const Duration reported = FromMilliseconds(
      report_.inter_token_latency_ms > 0 ? report_.inter_token_latency_ms
                                         : kDefaultInterTokenLatencyMs);
  prediction.inter_token_latency =
      std::max(reported, observed_inter_token_latency_);
  return prediction;
}

int UpstreamLoad::EstimatedRequests(int entries) const {
  if (!has_report_) return local_requests_ * std::max(1, entries);
  const int dispatched_since =
      CountDispatchesSince(measured_at_) * std::max(1, entries);
  const int reported = report_.running + report_.waiting;
  return std::max(reported + dispatched_since, local_requests_);
}

int UpstreamLoad::CountDispatchesSince(TimePoint since) const {
  const std::size_t recorded = std::min(dispatch_count_, kMaxRecentDispatches);
  int count = 0;
  for (std::size_t i = 0; i < recorded; ++i) {
    if (dispatches_[i] > since) ++count;
  }
  return count;
}

}  // namespace pollenledge
