#include "pollenledge/process/router.h"

#include <algorithm>

namespace pollenledge {
namespace {

bool IsExcluded(const RoutingRequest& request, UpstreamHandle handle) {
  return std::find(request.excluded_upstreams.begin(),
                   request.excluded_upstreams.end(),
                   handle) != request.excluded_upstreams.end();
}

bool MayHostSuspect(const RoutingRequest& request, const UpstreamEntry& record,
                    const EntryGroup& entries) {
  if (record.suspect_requests > 0) return false;
  if (request.isolate_on_any_upstream) return true;
  const auto count = static_cast<std::size_t>(std::max(1, entries.count));
  return record.ordinal % count == static_cast<std::size_t>(entries.ordinal);
}

// The upstreams that have a prefix of one request's prompt cached.
struct PrefixHolders {
  std::array<UpstreamHandle, PrefixIndex::kMaxHoldersPerPrefix> handles{};
  std::size_t count = 0;
  std::int64_t cached_tokens = 0;

  std::int64_t CachedOn(UpstreamHandle handle) const {
    const auto end = handles.begin() + static_cast<std::ptrdiff_t>(count);
    return std::find(handles.begin(), end, handle) == end ? 0 : cached_tokens;
  }
};

PrefixHolders FindHolders(const RoutingRequest& request,
                          const PrefixIndex& prefixes) {
  PrefixHolders holders;
  if (request.prefix_hashes == nullptr) return holders;
  const std::size_t blocks =
      prefixes.Find(*request.prefix_hashes, &holders.handles, &holders.count);
  holders.cached_tokens =
      std::min(request.prompt_tokens,
               static_cast<std::int64_t>(blocks) * Router::kPrefixBlockTokens);
  return holders;
}

}  // namespace

Duration DomainDistances::To(const std::string& domain) const {
  if (domain == self_) return Duration(0);
  const auto found = distances_.find(domain);
  return found == distances_.end() ? default_distance_ : found->second;
}

std::optional<RoutingChoice> Router::Choose(const RoutingRequest& request,
                                            const UpstreamTable& upstreams,
                                            const PrefixIndex& prefixes,
                                            const EntryGroup& entries,
                                            TimePoint now) {
  const PrefixHolders holders = FindHolders(request, prefixes);
  if (request.preferred_upstream.has_value() &&
      upstreams.Find(*request.preferred_upstream) != nullptr) {
    const auto preferred =
        Evaluate(request, upstreams, request.preferred_upstream->index,
                 request.prompt_tokens, entries, now);
    if (preferred.has_value()) return preferred->choice;
  }
  std::optional<Candidate> fastest;
  for (const UpstreamTable::PriceClass& price_class :
       upstreams.PriceClassesOf(request.pool)) {
    std::optional<Candidate> best;
    const auto consider = [&](std::uint32_t index) {
      const auto candidate =
          Evaluate(request, upstreams, index,
                   holders.CachedOn(upstreams.HandleOf(index)), entries, now);
      if (!candidate.has_value()) return;
      if (!best.has_value() || candidate->score < best->score) {
        best = candidate;
      }
    };
    for (std::size_t i = 0; i < holders.count; ++i) {
      const UpstreamEntry* record = upstreams.Find(holders.handles[i]);
      if (record == nullptr || record->info.pool != request.pool) continue;
      const std::int64_t price =
          record->info.price_micros_per_hour / std::max(1, record->info.slots);
      if (price == price_class.price_micros_per_slot_hour) {
        consider(holders.handles[i].index);
      }
    }
    const std::size_t members = price_class.members.size();
    if (members <= kSampleCount) {
      // A random start selects equal candidates equally often.
      const std::size_t start = random_() % members;
      for (std::size_t i = 0; i < members; ++i) {
        consider(price_class.members[(start + i) % members]);
      }
    } else {
      for (std::size_t i = 0; i < kSampleCount; ++i) {
        consider(price_class.members[random_() % members]);
      }
    }
    if (best.has_value() && best->choice.meets_target) return best->choice;
    if (best.has_value() &&
        (!fastest.has_value() || best->score < fastest->score)) {
      fastest = best;
    }
    if (request.cheapest_only) break;
  }
  if (!fastest.has_value()) return std::nullopt;
  return fastest->choice;
}

std::optional<Router::Candidate> Router::Evaluate(
    const RoutingRequest& request, const UpstreamTable& upstreams,
    std::uint32_t index, std::int64_t cached_tokens, const EntryGroup& entries,
    TimePoint now) const {
  const UpstreamEntry& record = upstreams.At(index);
  if (!record.present || record.state != UpstreamState::kLive) {
    return std::nullopt;
  }
  if (now < record.backoff_until) return std::nullopt;
  if (request.isolate && !MayHostSuspect(request, record, entries))
    return std::nullopt;
  const UpstreamHandle handle = upstreams.HandleOf(index);
  if (IsExcluded(request, handle)) return std::nullopt;
  Candidate candidate;
  RoutingChoice& choice = candidate.choice;
  choice.upstream = handle;
  choice.cached_tokens = std::min(cached_tokens, request.prompt_tokens);
  choice.prediction = record.load.Predict(
      request.prompt_tokens - choice.cached_tokens, record.info.slots,
      SlotQuota(record.info.slots, record.ordinal, entries), entries.count,
      distances_.To(record.info.domain));
  if (!choice.prediction.has_slot) return std::nullopt;
  choice.meets_target =
      request.time_in_queue + choice.prediction.time_to_first_token <=
          request.policy.first_token_target &&
      choice.prediction.inter_token_latency <=
          request.policy.inter_token_target;
  // The price is the same within a class. The least loaded upstream responds
  // first, and cached tokens save processor time that is already paid for.
  const int load = record.load.EstimatedRequests(entries.count);
  candidate.score = choice.prediction.time_to_first_token +
                    choice.prediction.inter_token_latency * load /
                        std::max(1, record.info.slots);
  if (!choice.meets_target) candidate.score += std::chrono::hours(1);
  return candidate;
}

}  // namespace pollenledge
