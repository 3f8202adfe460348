#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

#include "pollenledge/connection/caller_connection.h"
#include "pollenledge/connection/client_connection.h"
#include "pollenledge/connection/forwarding_codec.h"
#include "pollenledge/connection/heartbeat_link.h"
#include "pollenledge/connection/loop_clock.h"
#include "pollenledge/process/forward_metrics.h"
#include "pollenledge/process/forward_node.h"
#include "pollenledge/request/event_splitter.h"

namespace pollenledge {

/// What a forwarding service is told when it starts.
struct ForwardServiceOptions {
  std::string caller_address;     ///< Where callers connect.
  std::string readiness_address;  ///< Where the balancer asks.
  std::string admin_address;      ///< Where metrics are served.
  std::string metrics_address;    ///< Where else; empty: nowhere.
  std::string peer_address;       ///< Where other nodes send heartbeats.
  /// Keeps refused requests beyond this process; may be empty.
  std::function<void(const std::vector<CrashReport>&)> keep_suspects;
  /// Reads the operators' tables from the store at once; may be empty.
  std::function<void()> read_tables;
  Duration grace{0};  ///< Time from the stop signal until the process is gone.
  ForwardOptions node;
};

/// Does what a `ForwardNode` decides: one event loop that holds the callers'
/// and upstreams' connections and the link to the other nodes.
///
/// Not thread-safe: everything runs on the loop's thread.
class ForwardService {
 public:
  /// Throws `std::system_error` if it cannot listen.
  ForwardService(boost::asio::io_context& loop, ForwardServiceOptions options,
                 ForwardingCodec codec);

  /// Tells the node something and does what it decides.
  void Submit(ForwardEvent event);

  /// Begins to stop: new work is still answered for a while, then `on_drained`
  /// is called once nothing is in progress or the grace is nearly over.
  void Drain(std::function<void()> on_drained);

  ForwardNode& node() { return node_; }
  ForwardMetrics& metrics() { return metrics_; }
  /// The present time, the calendar as the nodes together estimate it.
  Instant Now() const;

 private:
  /// One request with its connections.
  struct Exchange {
    std::shared_ptr<CallerConnection> caller;
    HttpHead request;
    std::string body;
    ForwardSpec spec;
    TimePoint arrived_at;
    bool is_stream = false;  ///< The route answers with events.
    bool answer_begun = false;
    std::shared_ptr<ClientConnection> attempt;
    HttpHead answer;
    AnswerFacts facts;
    bool passing_events = false;  ///< The present attempt's answer is a stream.
    std::string answer_body;
    std::optional<EventSplitter> events;
  };

  void OnRequest(const std::shared_ptr<CallerConnection>& caller,
                 const HttpHead& head, const std::string& body);
  void OnCallerLeft(const std::shared_ptr<CallerConnection>& caller);
  CallerHandlers AdminHandlers();
  void OnAdminRequest(const std::shared_ptr<CallerConnection>& caller);
  void OnReadinessRequest(const std::shared_ptr<CallerConnection>& caller);

  void Do(const forward_action::SendAttempt& send);
  void Do(const forward_action::Refuse& refuse);
  void Do(const forward_action::Fail& fail);
  void Do(const forward_action::Deliver& deliver);
  void Do(const forward_action::CancelAttempt& cancel);
  void Do(const forward_action::SendHeartbeat& send);
  void Do(const forward_action::ReadTables& read);
  void Do(const forward_action::KeepSuspects& keep);
  void Do(const forward_action::LogDecision& decision);

  bool OnAnswerHead(ForwardId id, const HttpHead& head);
  void OnAnswerBody(ForwardId id, const std::string& part);
  void OnAttemptEnd(ForwardId id, ExchangeEnd end);
  /// Ends an attempt whose answer is over its bounds.
  void RejectAnswer(ForwardId id, const char* reason);
  void DropHeldAnswer(Exchange* exchange);
  ForwardEnd Classify(const Exchange& exchange, ExchangeEnd end) const;
  void BeginAnswer(Exchange* exchange);
  void AnswerOwn(ForwardId id, int status, Duration retry_after,
                 const std::string& detail);
  void Forget(ForwardId id);
  Exchange* Find(ForwardId id);

  Instant OwnClocks() const;
  void ArmTimer();
  void OnTimer();
  void ContinueDrain();

  boost::asio::io_context& loop_;
  ForwardServiceOptions options_;
  ForwardingCodec codec_;
  CalendarClock calendar_;
  ForwardNode node_;
  ForwardMetrics metrics_;
  ClientConnectionPool upstream_pool_;
  std::unordered_map<ForwardId, Exchange> exchanges_;
  std::size_t held_answer_bytes_ = 0;  ///< Of answers that are not whole yet.
  ForwardId next_id_ = 1;
  std::deque<ForwardEvent> pending_;
  bool handling_ = false;
  boost::asio::steady_timer timer_;
  std::optional<TimePoint> timer_at_;
  TimePoint idle_swept_at_;
  std::optional<TimePoint> drain_started_;
  std::function<void()> on_drained_;
  HeartbeatLink heartbeats_;
  CallerServer readiness_server_;
  CallerServer admin_server_;
  std::optional<CallerServer> metrics_server_;
  CallerServer caller_server_;
};

}  // namespace pollenledge
