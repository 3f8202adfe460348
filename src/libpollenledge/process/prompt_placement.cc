#include "pollenledge/process/prompt_placement.h"

#include <algorithm>

namespace pollenledge {
namespace {

constexpr double kMillisecondsPerSecond = 1000;
constexpr double kBitsPerByte = 8;
constexpr double kBitsPerMegabit = 1e6;

std::int64_t UncachedTokens(const PlacementRequest& request,
                            const PlacementOption& option) {
  return std::max<std::int64_t>(0,
                                request.prompt_tokens - option.cached_tokens);
}

/// Returns the tokens that `source` retains and `target` lacks.
std::int64_t MissingTokens(const PlacementRequest& request,
                           const PlacementOption& target,
                           const PlacementOption& source) {
  const std::int64_t available =
      std::min(source.cached_tokens, request.prompt_tokens);
  return std::max<std::int64_t>(0, available - target.cached_tokens);
}

}  // namespace

Duration ReadTime(std::int64_t tokens, const PlacementOption& option) {
  return FromSeconds(static_cast<double>(tokens) / option.prompt_tokens_per_ms /
                     kMillisecondsPerSecond);
}

std::optional<Duration> FetchTime(std::int64_t tokens,
                                  const FetchCosts& costs) {
  if (costs.kv_bytes_per_token <= 0 || costs.bandwidth_mbps <= 0)
    return std::nullopt;
  const double bits = static_cast<double>(tokens) *
                      static_cast<double>(costs.kv_bytes_per_token) *
                      kBitsPerByte;
  return costs.overhead +
         FromSeconds(bits / (costs.bandwidth_mbps * kBitsPerMegabit));
}

Duration EvictionCost(const PlacementRequest& request,
                      const PlacementOption& option) {
  const std::int64_t needed =
      UncachedTokens(request, option) + request.response_tokens;
  const std::int64_t evicted =
      std::max<std::int64_t>(0, needed - option.free_kv_tokens);
  return FromSeconds(ToSeconds(ReadTime(evicted, option)) *
                     std::clamp(option.evicted_use_share, 0.0, 1.0));
}

Duration PlacementValue(const PlacementRequest& request,
                        const PlacementOption& option) {
  const std::int64_t saved =
      std::min(option.cached_tokens, request.prompt_tokens);
  return ReadTime(saved, option) - option.wait - EvictionCost(request, option);
}

std::optional<std::size_t> ChooseFetchSource(
    const PlacementRequest& request, std::size_t target,
    const std::vector<PlacementOption>& options, const FetchCosts& costs) {
  std::optional<std::size_t> best;
  std::int64_t most = 0;
  for (std::size_t i = 0; i < options.size(); ++i) {
    if (i == target || !options[i].may_be_fetched_from) continue;
    const std::int64_t missing =
        MissingTokens(request, options[target], options[i]);
    if (missing <= most) continue;
    most = missing;
    best = i;
  }
  if (!best.has_value()) return std::nullopt;
  const std::optional<Duration> fetch = FetchTime(most, costs);
  if (!fetch.has_value() || *fetch >= ReadTime(most, options[target]))
    return std::nullopt;
  return best;
}

std::optional<Placement> ChoosePlacement(
    const PlacementRequest& request,
    const std::vector<PlacementOption>& options, const FetchCosts& costs) {
  std::optional<Placement> best;
  Duration best_cost{0};
  for (std::size_t i = 0; i < options.size(); ++i) {
    const PlacementOption& option = options[i];
    Placement placement{i, ChooseFetchSource(request, i, options, costs), {}};
    std::int64_t unread = UncachedTokens(request, option);
    placement.until_read = option.wait;
    if (placement.fetch_from.has_value()) {
      const std::int64_t fetched =
          MissingTokens(request, option, options[*placement.fetch_from]);
      unread -= fetched;
      placement.until_read +=
          FetchTime(fetched, costs).value_or(Duration::zero());
    }
    placement.until_read += ReadTime(unread, option);
    const Duration cost = placement.until_read + EvictionCost(request, option);
    if (best.has_value() && cost >= best_cost) continue;
    best = placement;
    best_cost = cost;
  }
  return best;
}

}  // namespace pollenledge
