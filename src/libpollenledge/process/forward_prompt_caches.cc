#include <algorithm>
#include <utility>
#include <variant>

#include "pollenledge/process/forward_node.h"

// What the upstreams retain of prompts, in `ForwardNode`: records, events,
// exchange with peers, and use in the choice of an upstream.

namespace pollenledge {
namespace {

/// Interval at which the tracked and watched upstreams are selected anew.
constexpr Duration kSelectInterval = std::chrono::seconds(1);
/// Connections to one upstream that requests may need, per slot: nodes send
/// slightly more requests than it has slots.
constexpr double kConnectionsPerSlot = 1.2;

/// Returns true if calls for cache events are served and leave enough
/// connections for requests.
bool MayPoll(const ForwardingService& service) {
  if (!service.engine.has_value()) return false;
  constexpr auto kWatchers =
      static_cast<int>(PromptCacheWatch::kWatchersPerUpstream);
  // The watchers change while nodes come and go, so that for a moment there may
  // be twice as many.
  if (service.engine->max_cache_event_calls < 2 * kWatchers) return false;
  const double needed =
      kConnectionsPerSlot * service.engine->slots + 2 * kWatchers;
  return service.max_connections == 0 || service.max_connections >= needed;
}

}  // namespace

void ForwardNode::UsePromptCaches(const Request& request,
                                  UpstreamCriteria* query) const {
  if (!query->affinity.has_value() || !IsPredictive(request.service)) return;
  query->cached_prompt_tokens = [this, &request](const UpstreamId& upstream) {
    return prompt_caches_.CachedTokens(upstream, request.spec.prompt_segments,
                                       now());
  };
}

void ForwardNode::RecordPromptSent(const Request& request) {
  prompt_caches_.OnSent({request.current_upstream, request.current_incarnation},
                        request.spec.prompt_segments, now());
}

void ForwardNode::RecordPromptRead(const Request& request) {
  if (!request.relay.empty()) return;
  prompt_caches_.OnRead({request.current_upstream, request.current_incarnation},
                        request.spec.prompt_segments, now());
}

void ForwardNode::RecordPromptNotRun(const Request& request) {
  prompt_caches_.OnNotRun(
      {request.current_upstream, request.current_incarnation},
      request.spec.prompt_segments);
}

void ForwardNode::MergePromptCaches(const Heartbeat& heartbeat) {
  const std::vector<PromptCacheChange> news =
      prompt_caches_.Merge(heartbeat.prompt_caches, now());
  if (!is_collector_) return;
  const std::string& sender = heartbeat.records.front().id.name;
  for (const PromptCacheChange& change : news)
    prompt_cache_reports_.Record(change, sender);
}

void ForwardNode::AddPromptCaches(const std::string& recipient, bool own_only,
                                  Heartbeat* heartbeat) {
  for (const PromptCacheChange& change : prompt_caches_.TakeChanges())
    prompt_cache_reports_.Record(change, "");
  heartbeat->prompt_caches = prompt_cache_reports_.Next(
      recipient, own_only, prompt_caches_.FollowedUpstreams(own_only, now()),
      now());
}

void ForwardNode::UpdatePromptCaches() {
  if (!options_.adaptive_scheduling) return;
  if (now() - prompt_caches_selected_at_ >= kSelectInterval) {
    prompt_caches_selected_at_ = now();
    SelectPromptCaches();
  }
  PollPromptCaches();
}

void ForwardNode::SelectPromptCaches() {
  std::vector<PromptCacheUpstream> tracked;
  std::vector<WatchableUpstream> watchable;
  if (tables_index_ != nullptr) {
    for (const ForwardingService& service : tables_index_->tables().services) {
      if (!IsPredictive(service.name)) continue;
      const bool may_poll = MayPoll(service);
      for (const ForwardUpstreamInfo& info : upstreams_.Usable(service.name)) {
        tracked.push_back({info.id, service.engine->kv_capacity_tokens});
        if (may_poll) watchable.push_back({info.id, info.address});
      }
    }
  }
  prompt_caches_.SetUpstreams(tracked);
  if (draining()) watchable.clear();
  std::vector<std::string> nodes = {membership_.self().id.name};
  for (const MemberRecord* member : membership_.LiveOthers(now())) {
    if (!member->draining) nodes.push_back(member->id.name);
  }
  prompt_cache_watch_.SetWatched(SelectWatched(
      membership_.self().id.name, nodes, watchable,
      PromptCacheWatch::kWatchersPerUpstream, PromptCacheWatch::kMaxOpenCalls));
}

void ForwardNode::PollPromptCaches() {
  if (draining()) return;
  for (const WatchableUpstream& upstream : prompt_cache_watch_.TakeDue(now())) {
    Emit(forward_action::PollPromptCache{upstream.id, upstream.address,
                                         prompt_caches_.NextEvent(upstream.id),
                                         PromptCacheWatch::kCallWait});
  }
}

void ForwardNode::On(const forward_event::PromptCachePolled& polled) {
  const Duration backoff =
      prompt_cache_watch_.OnCallEnded(polled.upstream, polled.result, now());
  if (const auto* failure =
          std::get_if<PromptCachePollFailure>(&polled.result)) {
    if (draining() || !prompt_cache_watch_.IsWatched(polled.upstream)) return;
    Emit(forward_action::WriteLogLine{
        LogLevel::kInfo,
        "prompt_cache_poll_failed",
        {{"upstream", polled.upstream.name},
         {"reason",
          *failure == PromptCachePollFailure::kRefused ? "refused" : "failed"},
         {"next_in_ms", FormatMilliseconds(backoff)}}});
    return;
  }
  const auto& events = std::get<PromptCacheEvents>(polled.result);
  if (prompt_caches_.OnEvents(polled.upstream, events, now())) {
    Emit(forward_action::WriteLogLine{LogLevel::kInfo,
                                      "prompt_cache_restarted",
                                      {{"upstream", polled.upstream.name}}});
  }
  if (events.lost > 0) {
    Emit(
        forward_action::WriteLogLine{LogLevel::kInfo,
                                     "prompt_cache_events_lost",
                                     {{"upstream", polled.upstream.name},
                                      {"count", std::to_string(events.lost)}}});
  }
  PollPromptCaches();
}

}  // namespace pollenledge
