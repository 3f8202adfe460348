#include "pollenledge/process/predictive_choice.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <string>

#include "pollenledge/process/upstream_balancer.h"

namespace pollenledge {
namespace {

/// Number of candidates that are drawn, in the virtual fleet of
/// `UnevenUpstreams`: with more the nodes agree too much on the fast ones. A
/// probability that grows with the speed had the same effect.
constexpr int kDrawn = 2;
/// Share of a target that a prediction may use, since predictions err.
constexpr double kTargetShare = 0.8;
/// Time in which a load report loses two thirds of its weight against the mean
/// of all reported loads.
constexpr Duration kLoadMemory = std::chrono::seconds(1);
/// Weight of the predicted end against that of the predicted first event.
constexpr double kEndCost = 0.5;
/// Weight of the time to read the prompt, for which other requests there wait.
constexpr double kReadCost = 1;
/// From this share of the prompt on that need not be read again, the upstream
/// that is known to retain it is chosen if no further target is missed there:
/// reading it elsewhere delays the requests that run there.
constexpr double kMinSavedShare = 0.2;
/// Least probability of an upstream without free capacity, relative to one
/// without load.
constexpr double kMinFreeShare = 0.02;

double MeanReportedLoad(const std::vector<ForwardUpstream*>& candidates,
                        TimePoint now) {
  double total = 0;
  double weight = 0;
  for (const ForwardUpstream* upstream : candidates) {
    if (!upstream->load_report.has_value()) continue;
    const double fresh = std::exp(-ToSeconds(now - upstream->reported_at) /
                                  ToSeconds(kLoadMemory));
    total += fresh *
             (upstream->load_report->running + upstream->load_report->waiting);
    weight += fresh;
  }
  return weight > 0 ? total / weight : 0;
}

/// Returns the number of requests that are expected at an upstream: as it
/// reported and as usual, according to the age of the report.
double ExpectedLoad(const ForwardUpstream& upstream, double mean,
                    TimePoint now) {
  double load = mean;
  if (upstream.load_report.has_value()) {
    const double fresh = std::exp(-ToSeconds(now - upstream.reported_at) /
                                  ToSeconds(kLoadMemory));
    const double reported = upstream.load_report->running +
                            upstream.load_report->waiting +
                            upstream.sent_since_report;
    load = fresh * reported + (1 - fresh) * mean;
  }
  return std::max<double>(load, upstream.in_flight);
}

/// Returns the candidate that all nodes prefer for the request's shared prompt;
/// null if it shares none. Weighted rendezvous hashing (Schindelhauer and
/// Schomaker, SPAA 2005), so that a fast upstream is preferred for more
/// prompts.
ForwardUpstream* PreferredBy(const PredictedRequest& request,
                             const std::vector<ForwardUpstream*>& candidates) {
  if (!request.affinity.has_value()) return nullptr;
  ForwardUpstream* preferred = nullptr;
  double best = 0;
  for (ForwardUpstream* candidate : candidates) {
    const std::string& name = candidate->info.id.name;
    const double unit = std::ldexp(
        static_cast<double>(
            XXH64(name.data(), name.size(), *request.affinity) >> 11) +
            0.5,
        -53);
    const double weight =
        std::log(unit) / request.speeds->SpeedOf(candidate->info.id);
    if (preferred != nullptr && weight <= best) continue;
    preferred = candidate;
    best = weight;
  }
  return preferred;
}

/// The upstream that retains most of a request's prompt.
struct Retention {
  ForwardUpstream* upstream = nullptr;  ///< Null: none.
  std::int64_t tokens = 0;
  /// False if it is only assumed. Others may then retain as much.
  bool is_known = false;
};

/// Returns the candidate that is known to retain most of the prompt. Where none
/// is known to retain the shared part, all nodes assume it at the same
/// upstream, so that it is read there once.
Retention FindRetention(const PredictedRequest& request,
                        const std::vector<ForwardUpstream*>& candidates,
                        TimePoint now) {
  Retention retention;
  if (request.cached_tokens) {
    for (ForwardUpstream* candidate : candidates) {
      const std::int64_t tokens = request.cached_tokens(
          candidate->info.id, request.prompt_segments, now);
      if (tokens > retention.tokens) retention = {candidate, tokens, true};
    }
  }
  if (retention.tokens >= request.shared_prompt_tokens) return retention;
  ForwardUpstream* assumed = PreferredBy(request, candidates);
  if (assumed == nullptr) return retention;
  return {assumed, request.shared_prompt_tokens, false};
}

double RelativeTo(Duration time, Duration target) {
  return target > Duration::zero() ? ToSeconds(time) / ToSeconds(target) : 0;
}

}  // namespace

Prediction Predict(const PredictedRequest& request,
                   const ForwardUpstream& upstream, double running,
                   std::int64_t cached_tokens, TimePoint now) {
  const UpstreamSpeeds& speeds = *request.speeds;
  const UpstreamId& id = upstream.info.id;
  const auto uncached = static_cast<double>(
      std::max<std::int64_t>(0, request.prompt_tokens - cached_tokens));
  const UpstreamWork work{running + 1,
                          static_cast<double>(upstream.pending_prompt_tokens),
                          std::max(1.0, upstream.SlowdownFactor(now))};
  Prediction prediction;
  prediction.first_event = speeds.PredictFirstEvent(id, uncached, work);
  prediction.interval = speeds.PredictInterval(id, work);
  prediction.end =
      speeds.PredictEnd(id, uncached, request.response_events, work);
  const double first =
      RelativeTo(prediction.first_event, request.first_event_target);
  const double gap = RelativeTo(prediction.interval, request.event_gap_target);
  const double end = RelativeTo(prediction.end, request.time_left);
  for (const double share : {first, gap, end}) {
    if (share > kTargetShare) ++prediction.missed;
  }
  const Duration read =
      prediction.first_event - speeds.PredictFirstEvent(id, 0, work);
  prediction.cost = first + kEndCost * end +
                    kReadCost * RelativeTo(read, request.first_event_target);
  return prediction;
}

ForwardUpstream* ChooseByPrediction(
    const std::vector<ForwardUpstream*>& candidates,
    const PredictedRequest& request, TimePoint now, std::mt19937_64* random) {
  const double mean = MeanReportedLoad(candidates, now);
  std::vector<double> cumulated;
  cumulated.reserve(candidates.size());
  double total = 0;
  for (const ForwardUpstream* candidate : candidates) {
    const double slots = std::max(1, candidate->info.slots);
    const double free = 1 - ExpectedLoad(*candidate, mean, now) / slots;
    total += std::max(kMinFreeShare, free) * slots /
             std::max(1.0, candidate->SlowdownFactor(now));
    cumulated.push_back(total);
  }
  const Retention retention = FindRetention(request, candidates, now);
  const auto cached = [&](const ForwardUpstream* upstream) -> std::int64_t {
    if (upstream == retention.upstream) return retention.tokens;
    return request.cached_tokens
               ? request.cached_tokens(upstream->info.id,
                                       request.prompt_segments, now)
               : 0;
  };
  const auto predict = [&](const ForwardUpstream& upstream) {
    return Predict(request, upstream, ExpectedLoad(upstream, mean, now),
                   cached(&upstream), now);
  };
  ForwardUpstream* best = nullptr;
  Prediction best_prediction;
  std::uniform_real_distribution<double> draw(0, total);
  for (int i = 0; i < kDrawn; ++i) {
    const auto at =
        std::upper_bound(cumulated.begin(), cumulated.end(), draw(*random));
    const auto index = std::min<std::ptrdiff_t>(
        at - cumulated.begin(),
        static_cast<std::ptrdiff_t>(candidates.size()) - 1);
    ForwardUpstream* candidate = candidates[static_cast<std::size_t>(index)];
    const Prediction prediction = predict(*candidate);
    if (best != nullptr && !(prediction < best_prediction)) continue;
    best = candidate;
    best_prediction = prediction;
  }
  if (retention.upstream == nullptr) return best;
  const Prediction prediction = predict(*retention.upstream);
  const bool saves_much =
      retention.is_known &&
      static_cast<double>(retention.tokens - cached(best)) >=
          kMinSavedShare * static_cast<double>(request.prompt_tokens);
  const bool is_as_timely =
      saves_much && prediction.missed <= best_prediction.missed;
  return is_as_timely || prediction < best_prediction ? retention.upstream
                                                      : best;
}

}  // namespace pollenledge
