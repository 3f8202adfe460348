#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <random>
#include <vector>

#include "pollenledge/process/upstream_speeds.h"
#include "pollenledge/request/forward_request.h"
#include "pollenledge/time.h"

namespace pollenledge {

struct ForwardUpstream;

/// Returns how many tokens of the prompt an upstream has in its cache.
using CachedTokensSource = std::function<std::int64_t(
    const UpstreamId&, const std::vector<PromptSegment>&, TimePoint now)>;

/// What the choice of an upstream by prediction needs to know of a request.
struct PredictedRequest {
  const UpstreamSpeeds* speeds = nullptr;  ///< Never null.
  std::int64_t prompt_tokens = 0;
  /// Empty: nothing is known of any upstream.
  CachedTokensSource cached_tokens;
  std::vector<PromptSegment> prompt_segments;
  /// Requests with the same value share `shared_prompt_tokens` tokens.
  std::optional<std::uint64_t> affinity;
  std::int64_t shared_prompt_tokens = 0;
  double response_events = 1;      ///< Expected number of events.
  Duration first_event_target{0};  ///< From now; 0: none.
  Duration event_gap_target{0};    ///< 0: none.
  Duration time_left{0};           ///< Until the deadline.
};

/// What is expected of a request at one upstream.
struct Prediction {
  Duration first_event{0};
  Duration interval{0};  ///< Between events.
  Duration end{0};
  /// Number of targets that are expected to be missed.
  int missed = 0;
  /// Times relative to the targets; less is better among as many missed ones.
  double cost = 0;

  friend bool operator<(const Prediction& a, const Prediction& b) {
    return a.missed != b.missed ? a.missed < b.missed : a.cost < b.cost;
  }
};

/// Predicts `request` at `upstream`. `running` is the expected number of
/// requests there.
Prediction Predict(const PredictedRequest& request,
                   const ForwardUpstream& upstream, double running,
                   std::int64_t cached_tokens, TimePoint now);

/// Returns an upstream of `candidates`, which must not be empty.
///
/// All nodes have about the same view, which is up to a second old, so the best
/// upstream by it would be chosen by all of them at once. Therefore a few
/// candidates are drawn, with a probability that grows with free capacity, and
/// the best of these is chosen. The upstream that has most of the prompt in its
/// cache is always among them (Mitzenmacher, "How Useful Is Old
/// Information?", IEEE TPDS 2000).
ForwardUpstream* ChooseByPrediction(
    const std::vector<ForwardUpstream*>& candidates,
    const PredictedRequest& request, TimePoint now, std::mt19937_64* random);

}  // namespace pollenledge
