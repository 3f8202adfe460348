#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "pollenledge/process/forward_node.h"

namespace pollenledge::testing {

/// A request in progress, as its caller and its upstreams see it.
struct OpenRequest {
  TimePoint deadline;
  bool is_stream = false;
  bool has_attempt = false;    ///< Sent or relayed, and not ended or cancelled.
  std::string upstream;        ///< Of the attempt; empty if it is relayed.
  bool attempt_begun = false;  ///< An event of the attempt was received.
  bool was_looked_up = false;
  /// Until when it may wait for a list that shows who sent its events.
  std::optional<TimePoint> origin_wait_end;
  bool response_begun = false;  ///< The caller received an event.
  bool broken_by_upstream = false;
  std::int64_t last_event_id = 0;
};

/// Follows the requests at one `ForwardNode` by its events and actions, and
/// collects what breaks the promise that each ends exactly once, in time.
class ForwardRequestChecker {
 public:
  /// Number of violations that are collected; later ones are left out.
  static constexpr std::size_t kMaxViolations = 10;
  /// Longest time for which a request waits for a list of upstreams.
  static constexpr Duration kMaxOriginWait = std::chrono::milliseconds(1500);

  /// A request arrives by the next event.
  void Add(ForwardId id, OpenRequest request) {
    open_.emplace(id, std::move(request));
    ++added_;
  }

  /// Call it before the node handles `event`.
  void BeforeEvent(const ForwardEvent& event, TimePoint now) {
    now_ = now;
    left_.reset();
    if (const auto* ended = std::get_if<forward_event::AttemptEnded>(&event))
      OnAttemptEnded(*ended);
    if (const auto* left =
            std::get_if<forward_event::CallerDisconnected>(&event))
      left_ = left->id;
  }

  /// Call it with what the node returned.
  void AfterEvent(const ForwardEvent& event,
                  const std::vector<ForwardAction>& actions,
                  const ForwardNode& node) {
    for (const ForwardAction& action : actions) {
      std::visit([this](const auto& known) { On(known); }, action);
    }
    if (left_.has_value()) OnLeft(*left_);
    if (std::holds_alternative<forward_event::Ticked>(event)) CheckDeadlines();
    CheckKept(node);
  }

  /// The requests that have not ended, by id.
  std::map<ForwardId, OpenRequest>& open() { return open_; }
  const std::vector<std::string>& violations() const { return violations_; }
  /// Number of ends, by "delivered", "failed", "rejected" and "left", and of
  /// streams that had begun, by "begun " and these.
  const std::map<std::string, int>& ends() const { return ends_; }
  int added() const { return added_; }

 private:
  void OnAttemptEnded(const forward_event::AttemptEnded& ended) {
    OpenRequest& request = open_.at(ended.id);
    request.has_attempt = false;
    if (ended.end == ForwardOutcome::kConnectionLost ||
        ended.end == ForwardOutcome::kInvalidResponse ||
        ended.end == ForwardOutcome::kFailed)
      request.broken_by_upstream = true;
  }

  OpenRequest* Find(ForwardId id, const char* action) {
    const auto found = open_.find(id);
    if (found != open_.end()) return &found->second;
    Report(id, std::string(action) + " after its end");
    return nullptr;
  }

  OpenRequest* FindByTraceId(const std::string& trace_id) {
    const auto found = open_.find(std::stoull(trace_id));
    return found == open_.end() ? nullptr : &found->second;
  }

  void BeginAttempt(ForwardId id, const std::string& upstream,
                    const char* action) {
    OpenRequest* request = Find(id, action);
    if (request == nullptr) return;
    if (request->has_attempt)
      Report(id, std::string(action) + " during another attempt");
    request->has_attempt = true;
    request->attempt_begun = false;
    request->origin_wait_end.reset();
    request->upstream = upstream;
  }

  void End(ForwardId id, const std::string& end) {
    const OpenRequest* request = Find(id, end.c_str());
    if (request == nullptr) return;
    if (left_ == id) Report(id, end + " although its caller left");
    if (request->has_attempt) Report(id, end + " with a running attempt");
    CountEnd(id, end);
  }

  void CountEnd(ForwardId id, const std::string& end) {
    ++ends_[end];
    if (open_.at(id).response_begun) ++ends_["begun " + end];
    open_.erase(id);
  }

  void OnLeft(ForwardId id) {
    const auto found = open_.find(id);
    if (found == open_.end()) return;
    if (found->second.has_attempt) Report(id, "runs on without its caller");
    CountEnd(id, "left");
  }

  void On(const forward_action::SendAttempt& send) {
    BeginAttempt(send.id, send.upstream.name, "sent");
  }
  void On(const forward_action::RelayRequest& relay) {
    BeginAttempt(relay.id, "", "relayed");
  }
  void On(const forward_action::CancelAttempt& cancel) {
    OpenRequest* request = Find(cancel.id, "cancelled");
    if (request == nullptr) return;
    if (!request->has_attempt) Report(cancel.id, "cancelled without attempt");
    request->has_attempt = false;
  }
  void On(const forward_action::LookUpStream& lookup) {
    OpenRequest* request = Find(lookup.id, "looked up");
    if (request != nullptr) request->was_looked_up = true;
  }
  void On(const forward_action::WriteLogLine& line) {
    if (line.event != std::string("waits_for_origin")) return;
    for (const LogField& field : line.fields) {
      if (field.name != std::string("request")) continue;
      if (OpenRequest* request = FindByTraceId(field.value))
        request->origin_wait_end = now_ + kMaxOriginWait;
    }
  }
  void On(const forward_action::Reject& reject) {
    const OpenRequest* request = Find(reject.id, "rejected");
    if (request != nullptr && request->response_begun)
      Report(reject.id,
             "rejected after an event: " + reject.not_run.problem_type);
    End(reject.id, "rejected");
  }
  void On(const forward_action::Fail& fail) {
    const OpenRequest* request = Find(fail.id, "failed");
    if (request != nullptr && request->response_begun &&
        !request->broken_by_upstream && now_ < request->deadline)
      Report(fail.id, "its sound stream was ended: " + fail.reason);
    End(fail.id, "failed");
  }
  void On(const forward_action::DeliverResponse& deliver) {
    End(deliver.id, "delivered");
  }
  template <typename Action>
  void On(const Action& /*action*/) {}

  void CheckDeadlines() {
    for (const auto& [id, request] : open_) {
      if (request.deadline <= now_) Report(id, "not ended at its deadline");
    }
  }

  /// Each open request is known to the node, and runs or waits there: in a
  /// queue, for the binding of its stream, for an upstream that goes on with
  /// its response, or, for a limited time, for a list of upstreams.
  void CheckKept(const ForwardNode& node) {
    if (node.active_requests() != open_.size())
      Report(0, "the node has " + std::to_string(node.active_requests()) +
                    " requests of " + std::to_string(open_.size()));
    std::size_t waiting = 0;
    std::size_t may_wait_elsewhere = 0;
    const TimePoint next_tick = node.NextTickTime(now_);
    for (const auto& [id, request] : open_) {
      if (next_tick > request.deadline)
        Report(id, "no tick is due at its deadline");
      if (request.has_attempt) continue;
      ++waiting;
      const bool has_sound_response =
          request.response_begun && !request.broken_by_upstream;
      // The node looks at it again by then.
      const bool may_wait_for_list = request.origin_wait_end.has_value() &&
                                     next_tick <= *request.origin_wait_end;
      if (request.was_looked_up || has_sound_response || may_wait_for_list)
        ++may_wait_elsewhere;
    }
    const std::size_t queued = node.queued_requests();
    if (queued > waiting || queued + may_wait_elsewhere < waiting)
      Report(0, std::to_string(queued) + " queued of " +
                    std::to_string(waiting) + " that wait");
  }

  void Report(ForwardId id, const std::string& what) {
    if (violations_.size() >= kMaxViolations) return;
    violations_.push_back("request " + std::to_string(id) + ": " + what);
  }

  std::map<ForwardId, OpenRequest> open_;
  std::vector<std::string> violations_;
  std::map<std::string, int> ends_;
  int added_ = 0;
  TimePoint now_;
  std::optional<ForwardId> left_;  ///< Its caller leaves by the current event.
};

}  // namespace pollenledge::testing
