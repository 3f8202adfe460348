#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "pollenledge/connection/caller_server.h"
#include "pollenledge/connection/client_connection.h"
#include "pollenledge/connection/forwarding_codec.h"
#include "pollenledge/connection/heartbeat_link.h"
#include "pollenledge/connection/loop_clock.h"
#include "pollenledge/process/forward_metrics.h"
#include "pollenledge/process/forward_node.h"
#include "pollenledge/process/log_line_limit.h"
#include "pollenledge/process/loop_delay_monitor.h"
#include "pollenledge/process/prompt_cache_client.h"
#include "pollenledge/process/response_end_verifier.h"
#include "pollenledge/process/upstream_report_client.h"
#include "pollenledge/request/event_splitter.h"

namespace pollenledge {

/// Addresses, callbacks and limits of a `ForwardService`.
struct ForwardServiceOptions {
  std::string caller_address;  ///< Listens for callers' requests.
  std::string
      readiness_address;      ///< Serves the load balancer's readiness probes.
  std::string admin_address;  ///< Serves metrics.
  std::string metrics_address;  ///< Also serves metrics unless it is empty.
  std::string peer_address;     ///< Receives heartbeats from other nodes.
  /// Writes the crash reports of suspects to the store; may be empty.
  std::function<void(const std::vector<CrashReport>&)> persist_suspects;
  /// Starts a read of the crash reports from the store; may be empty.
  std::function<void()> read_suspects;
  /// Starts a read of the tables from the store; may be empty.
  std::function<void()> read_tables;
  /// Parses the document of tables that came from another node; may be empty.
  std::function<Result<ForwardingTables>(const std::string&)> parse_tables;
  /// Reads the list of upstreams from the store soon.
  std::function<void()> read_upstreams;
  /// Update the records of versions and streams in the store; may be empty.
  std::function<void(const forward_action::UpdateVersionRecords&)>
      update_version_records;
  std::function<void(const std::vector<StreamRecord>&)> record_streams;
  /// Searches the store and submits `StreamLookedUp`; may be empty.
  std::function<void(const forward_action::LookUpStream&)> look_up_stream;
  /// Time from the stop signal until the process must have exited.
  Duration grace_period{0};
  /// What the process may hold for its clients.
  ByteBudgetLimits byte_limits = MakeByteBudgetLimits(0, 0);
  ForwardNodeOptions node_options;
};

/// Runs a `ForwardNode` on an event loop: translates network input into events
/// and executes the resulting actions.
///
/// Owns the node, its metrics, the callers' and upstreams' connections, and the
/// heartbeat link to the other nodes. The event loop must outlive the service.
///
/// Not thread-safe: everything runs on the loop's thread.
class ForwardService {
 public:
  /// Throws `std::system_error` if it cannot listen on one of the addresses.
  ForwardService(boost::asio::io_context& loop, ForwardServiceOptions options,
                 ForwardingCodec codec);

  /// Passes `event` to the node and executes the actions it returns. An event
  /// that is submitted while another one is handled is queued behind it.
  void Submit(ForwardEvent event);

  /// Starts to drain. New requests are served until the load balancer has
  /// noticed; `on_drained` is called once no request is in progress or the
  /// grace period is nearly over.
  void Drain(std::function<void()> on_drained);

  ForwardNode& node() { return node_; }
  ForwardMetrics& metrics() { return metrics_; }
  /// Returns the current time; its wall clock is the fleet's common estimate.
  Instant Now() const;

 private:
  /// One request in progress with its caller and upstream connections.
  struct Exchange {
    std::shared_ptr<CallerConnection> caller;
    HttpHead request_head;
    /// Shared with the writes of the attempts, so that it exists once.
    std::shared_ptr<const std::string> request_body;
    ForwardSpec spec;
    TimePoint arrived_at;
    bool expects_stream = false;  ///< The route's responses are event streams.
    bool response_started = false;  ///< The caller received the response head.
    std::shared_ptr<ClientConnection> upstream_connection;
    /// Numbers of the connections that were kept after an earlier attempt of
    /// this request; one per attempt at most.
    std::vector<std::int64_t> kept_connections;
    /// To which the current attempt was sent, unless it `is_relayed_on`.
    UpstreamId upstream;
    TimePoint attempt_started_at;
    /// The response's connection has ended, and its upstream is being asked
    /// whether that was the end of the response.
    bool verifying_end = false;
    /// How long its connection had been idle before; empty for a new one.
    std::optional<Duration> connection_idle;
    bool is_relayed_on = false;  ///< The current attempt is at another node.
    HttpHead response_head;
    ResponseInfo response_info;
    ResponseEvidence evidence;  ///< Of the current attempt's response.
    /// The current attempt's response is a stream whose events are forwarded.
    bool forwarding_events = false;
    std::string response_body;  ///< Buffered until it is complete.
    std::optional<EventSplitter> event_splitter;
    /// Bytes of the response that wait for the rest of it: of the body, or of
    /// an event.
    std::size_t held_bytes = 0;
  };

  void OnRequest(const std::shared_ptr<CallerConnection>& caller,
                 const HttpHead& head, std::string body, bool is_relayed);
  /// Returns whose memory a body counts as and when it must be complete.
  BodyTerms TermsOfBody(const HttpHead& head) const;
  /// Counts and logs a refusal of a request that was not handed on because it
  /// was not complete, and returns the header fields of its response.
  std::vector<HttpField> OnRefusedEarly(const HttpHead& request, int status,
                                        bool is_relayed);
  void OnCallerDrained(const std::shared_ptr<CallerConnection>& caller);
  /// Counts a closed connection, and logs it if a request was lost with it.
  void OnCallerClosed(const CallerConnection& caller, const CallerClose& close,
                      bool is_relayed);
  CallerHandlers ReadinessHandlers();
  void SetMemoryGauges();
  void SetHeartbeatGauges();
  /// Returns the handlers of a server that receives requests from callers, or
  /// from other nodes that relay them.
  CallerHandlers RequestHandlers(bool is_relayed);
  void StartRelayServer();
  void OnCallerDisconnected(const std::shared_ptr<CallerConnection>& caller);
  CallerHandlers AdminHandlers();
  void OnAdminRequest(const std::shared_ptr<CallerConnection>& caller,
                      const HttpHead& request);
  /// Handles an operator's request to lift the rejection of a suspect.
  void LiftSuspect(const std::shared_ptr<CallerConnection>& caller,
                   std::string_view target);

  void Execute(const forward_action::SendAttempt& send);
  void Execute(const forward_action::RelayRequest& relay);
  void Execute(const forward_action::ProbeUpstream& probe);
  void Execute(const forward_action::PollPromptCache& poll);
  void Execute(const forward_action::Reject& reject);
  void Execute(const forward_action::Fail& fail);
  void Execute(const forward_action::DeliverResponse& deliver);
  void Execute(const forward_action::CancelAttempt& cancel);
  void Execute(const forward_action::SendHeartbeat& send);
  void Execute(const forward_action::ReadTables& read);
  void Execute(const forward_action::ParseTables& parse);
  void Execute(const forward_action::ReadSuspects& read);
  void Execute(const forward_action::ReadUpstreams& read);
  void Execute(const forward_action::PersistSuspects& persist);
  void Execute(const forward_action::UpdateVersionRecords& update);
  void Execute(const forward_action::RecordStreams& record);
  void Execute(const forward_action::LookUpStream& look_up);
  void Execute(const forward_action::Count& count);
  void Execute(const forward_action::WriteLogLine& line);

  /// Prepares the exchange for a new attempt.
  void ResetResponse(Exchange* exchange, RouteKind kind);
  /// Returns a connection that has not carried this request before. An id names
  /// the caller's attempt, so that a late copy of the response to an earlier
  /// send can't be told from the response to the current one. The response to a
  /// request without an id can be told from no other, so that it gets a
  /// connection that has carried nothing.
  std::shared_ptr<ClientConnection> AcquireConnection(
      const Exchange& exchange, const std::string& address,
      ConnectionReuse reuse);
  /// Starts the exchange of an attempt on its connection.
  void StartAttempt(Exchange* exchange,
                    const forward_action::SendAttempt& send);
  /// Sends the request with these header fields on its connection. If that has
  /// to be opened first, the request is sent only if `may_send` allows it then;
  /// null: always.
  void StartExchange(ForwardId id, Exchange* exchange,
                     const std::vector<HttpField>& fields,
                     TimePoint send_before, std::function<bool()> may_send);
  /// Asks the upstream's process which incarnation it is and starts the attempt
  /// on the same connection if it is the expected one.
  void VerifyUpstream(Exchange* exchange,
                      const forward_action::SendAttempt& send);
  void OnUpstreamReport(const forward_action::SendAttempt& send,
                        const std::shared_ptr<ClientConnection>& connection,
                        const UpstreamReport& report);
  bool OnResponseHead(ForwardId id, const HttpHead& head);
  /// Logs and counts what an upstream stated in a malformed way.
  void ReportUnreadableSignals(const Exchange& exchange,
                               const UpstreamSignals& signals);
  void OnResponseBody(ForwardId id, const std::string& bytes);
  void OnAttemptEnd(ForwardId id, ClientExchangeResult end);
  /// Passes the end of the current attempt to the node.
  void FinishAttempt(ForwardId id, Exchange* exchange, ForwardOutcome end);
  /// Returns true if the response counts as whole only because its connection
  /// ended in order.
  bool RestsOnClose(const Exchange& exchange, ClientExchangeResult end) const;
  /// Asks the upstream whether it lives on after the end of the connection.
  void VerifyEnd(ForwardId id, Exchange* exchange);
  /// `connection` is that of the response, `may_be_old` as in `IsWholeAtClose`.
  void OnEndVerified(ForwardId id,
                     const std::shared_ptr<ClientConnection>& connection,
                     bool may_be_old, TimePoint started,
                     ResponseEndProof proof);
  /// Returns when an earlier exchange on the attempt's connection had ended;
  /// empty if the connection was new.
  static std::optional<TimePoint> ConnectedAt(const Exchange& exchange);
  /// Aborts an attempt whose response exceeds a size limit.
  void RejectResponse(ForwardId id, const char* reason);
  void DiscardBufferedResponse(Exchange* exchange);
  /// Counts the bytes that the exchange holds now. Returns false if the process
  /// holds more than it may.
  bool CountHeldBytes(Exchange* exchange);
  /// Rejects the response that holds the most bytes.
  void BoundHeldBytes();
  /// Returns true if the response is the upstream's unchanged response to the
  /// request, so that it counts as a success by a status of 2xx.
  static bool IsUpstreamsOwn(const Exchange& exchange);
  ForwardOutcome ClassifyEnd(const Exchange& exchange,
                             ClientExchangeResult end) const;
  void StartResponse(Exchange* exchange);
  /// Sends a response of the node's own; aborts the caller's connection if a
  /// response was already started.
  void SendOwnResponse(ForwardId id, int status, Duration retry_after,
                       const std::string& detail);
  void RemoveExchange(ForwardId id);
  Exchange* FindExchange(ForwardId id);

  /// Returns the current time by this machine's own clocks.
  Instant LocalNow() const;
  void ArmTimer();
  void OnTimer();
  /// Counts and logs by how much the event loop is behind its timers.
  void RecordLoopDelay(TimePoint now, Duration delay);
  void ContinueDrain();
  void LogDrainEnd(Duration elapsed, bool timed_out);

  boost::asio::io_context& loop_;
  ForwardServiceOptions options_;
  ForwardingCodec codec_;
  WallClock wall_clock_;
  ForwardNode node_;
  ForwardMetrics metrics_;
  /// Also owned by the connections, which release what they hold at the end.
  std::shared_ptr<ByteBudget> byte_budget_;
  TimePoint refusal_logged_at_;
  /// A flood of refusals must not become a flood of log lines.
  LogLineLimit refusal_log_limit_{20, std::chrono::seconds(1)};
  TimePoint loop_delay_logged_at_;
  ClientConnectionPool upstream_pool_;
  PromptCacheClient prompt_cache_client_;
  UpstreamReportClient upstream_reports_;
  ResponseEndVerifier response_end_verifier_;
  std::unordered_map<ForwardId, Exchange> exchanges_;
  std::size_t held_response_bytes_ = 0;  ///< Over all exchanges.
  ForwardId next_id_ = 1;
  std::deque<ForwardEvent> pending_events_;
  bool handling_events_ = false;  ///< `Submit` is processing `pending_events_`.
  boost::asio::steady_timer timer_;
  LoopDelayMonitor loop_delay_;  ///< Of the loop, by `timer_`.
  TimePoint idle_connections_closed_at_;
  std::optional<TimePoint> drain_started_;  ///< Handling of the stop signal.
  TimePoint grace_started_;  ///< Earliest arrival of the stop signal.
  std::function<void()> on_drained_;
  HeartbeatLink heartbeat_link_;
  CallerServer readiness_server_;
  CallerServer admin_server_;
  std::optional<CallerServer> metrics_server_;
  /// Receives requests of other nodes; empty if its address is in use.
  std::optional<CallerServer> relay_server_;
  CallerServer caller_server_;
};

}  // namespace pollenledge
