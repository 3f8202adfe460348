#pragma once

#include <atomic>
#include <condition_variable>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <unordered_map>
#include <vector>

#include "pollenledge/connection/claim_store.h"
#include "pollenledge/connection/peer_link.h"
#include "pollenledge/connection/upstream_call.h"
#include "pollenledge/process/entry_node.h"
#include "pollenledge/process/settings.h"
#include "pollenledge/process/worker_pool.h"
#include "pollenledge/request/completion.h"
#include "pollenledge/request/response_buffer.h"

namespace pollenledge {

/// The actions of an `EntryNode` that the thread of an exchange executes.
using ExchangeCommand = std::variant<action::Dispatch, action::ReportOutcome,
                                     action::ReplayResponse, action::HandOver>;

/// The I/O state of one request: its queue of commands, the connection of its
/// current attempt, and its response. Shared by the thread that runs the
/// request and the threads that interrupt it or fetch its response.
/// Thread-safe; its lock is never acquired while another lock is held.
class Exchange {
 public:
  Exchange(RequestId id, std::string customer, std::string path,
           std::string body)
      : id_(std::move(id)),
        customer_(std::move(customer)),
        path_(std::move(path)),
        body_(std::move(body)) {}

  const RequestId& id() const { return id_; }
  const std::string& customer() const { return customer_; }
  const std::string& path() const { return path_; }
  const std::string& body() const { return body_; }
  ResponseBuffer& response() { return response_; }
  AttemptControl& attempt_control() { return attempt_control_; }

  void PostCommand(ExchangeCommand command);
  /// Removes and returns the next command, or nothing if none is posted within
  /// `timeout`.
  std::optional<ExchangeCommand> WaitForCommand(Duration timeout);

 private:
  const RequestId id_;
  const std::string customer_;
  const std::string path_;
  const std::string body_;
  ResponseBuffer response_;
  AttemptControl attempt_control_;
  std::mutex mutex_;
  std::condition_variable command_posted_;
  std::deque<ExchangeCommand> commands_;  // Guarded by mutex_.
};

/// The peer that continues a request after its hand-off.
struct HandedOverTo {
  NodeId peer;
};
/// How a request ended on this entry, for the thread that serves its caller:
/// its outcome, the recorded outcome of an earlier request with the same
/// idempotency key, or a hand-off.
using ExchangeResult = std::variant<Outcome, ClaimRecord, HandedOverTo>;

/// Passes a response on to the caller while it arrives. Both functions return
/// false if the caller has disconnected.
struct CallerSink {
  /// Called with one server-sent event that holds `tokens` tokens. `event` is
  /// empty if the response is not streamed to the caller.
  std::function<bool(const std::string& event, std::int64_t tokens)> on_event;
  std::function<bool()> is_connected;
};

/// Runs an `EntryNode` with real sockets and clocks: it turns network messages
/// and timers into events and executes the resulting actions.
///
/// Owns the node, the exchanges, the connections to peers and to the key-value
/// service, and the worker threads.
///
/// Locking: no lock is acquired while the node's lock is held. Actions are
/// executed after the node's lock is released. Exchanges, response buffers, the
/// claim store and the worker pools have their own locks, none of which is
/// acquired while another lock is held. Thread-safe.
class EntryService : public PeerService {
 public:
  /// `node` identifies this entry.
  EntryService(const Settings& settings, NodeId node);
  /// Stops the timer and all worker threads.
  ~EntryService() override;

  EntryService(const EntryService&) = delete;
  EntryService& operator=(const EntryService&) = delete;

  /// Starts the peer link and the timer thread. Throws if the peer address
  /// cannot be listened on.
  void Start();

  /// The active tables; null before the first version.
  std::shared_ptr<const Tables> tables() const;
  /// True if the load balancer may send requests to this entry.
  bool ready() const;
  /// True once the drain is complete and the process may stop.
  bool drained() const { return drained_; }
  /// Starts to drain the entry. `remaining` is the time until the process stops
  /// in any case, if known.
  void Drain(std::optional<Duration> remaining);
  /// Returns the metrics in the Prometheus text exposition format.
  std::string Metrics() const;

  /// Creates the exchange of a new request, with a new request id.
  std::shared_ptr<Exchange> OpenExchange(const std::string& customer,
                                         const std::string& path,
                                         const std::string& body);
  /// Submits the request for admission and runs it until it ends. Blocks the
  /// calling thread.
  ExchangeResult RunCompletion(const std::shared_ptr<Exchange>& exchange,
                               const CompletionRequest& request,
                               const CallerSink& sink);
  /// Does the same for a call of a plain service. `call` holds no address yet;
  /// routing adds it. `response` is set if the outcome is `Completed`.
  ExchangeResult RunServiceCall(const std::shared_ptr<Exchange>& exchange,
                                const RequestSpec& spec,
                                const ServiceAttempt& call,
                                HttpResponse* response);

  /// Reads the response of a request from byte `offset` on, from this entry or
  /// from a peer. Waits for at most `timeout` until a local response grows.
  /// Finds nothing if the request belongs to another customer.
  FetchedResponse FetchFromAnyEntry(const RequestId& id,
                                    const std::string& customer,
                                    std::uint64_t offset, Duration timeout);

  // PeerService.
  void OnPeerEvent(EntryEvent event) override;
  ClaimOwnerResponse QueryClaimOwner(const RequestId& id) override;
  bool HandOver(const HandOverMessage& message) override;
  FetchedResponse Fetch(const RequestId& id, const std::string& customer,
                        std::uint64_t offset) override;
  VersionedTablesYaml ActiveTables() override;
  std::uint64_t ApplyTables(const VersionedTablesYaml& tables) override;
  void ApplyUpstreamList(const std::vector<ListedUpstream>& upstreams) override;
  EntryReport Report() override;
  HybridTime TickClock() override;
  void ReceiveClock(const HybridTime& remote) override;

 private:
  /// Passes an event to the node and executes the resulting actions.
  void Submit(const EntryEvent& event);
  void ExecuteAction(EntryAction action);
  void Execute(const action::Dispatch& dispatch);
  void Execute(const action::Interrupt& interrupt);
  void Execute(const action::ReportOutcome& report);
  void Execute(const action::ReplayResponse& replay);
  void Execute(const action::WriteClaimRecord& write);
  void Execute(const action::ReadClaimRecord& read);
  void Execute(const action::QueryClaimOwner& query);
  void Execute(const action::WriteOutcome& write);
  void Execute(const action::SendHeartbeat& send);
  void Execute(const action::SendUpstreamNotice& send);
  void Execute(const action::HandOver& hand_over);
  void Execute(const action::DrainCompleted& completed);

  std::shared_ptr<Exchange> FindExchange(const RequestId& id) const;
  /// Finishes an exchange. Its response is kept for the retention time so that
  /// it can be fetched again. A rejected or replayed request is removed
  /// immediately, because a flood of rejections would otherwise exhaust memory.
  void FinishExchange(const std::shared_ptr<Exchange>& exchange,
                      const ExchangeResult& result);
  void RunAttempt(const std::shared_ptr<Exchange>& exchange,
                  const action::Dispatch& dispatch,
                  const CompletionRequest& request, const CallerSink& sink);
  /// Executes the commands of an exchange until it ends, and watches for the
  /// caller's disconnect.
  ExchangeResult RunCommands(const std::shared_ptr<Exchange>& exchange,
                             const CompletionRequest& request,
                             const CallerSink& sink);
  /// Hands off the request to a peer. If that fails, submits the request to
  /// this entry again and returns false.
  bool TryHandOver(const std::shared_ptr<Exchange>& exchange,
                   const action::HandOver& hand_over);
  /// Runs a request that a peer handed off to this entry.
  void RunHandedOverRequest(const std::shared_ptr<Exchange>& exchange,
                            const HandOverMessage& message);
  void RunTimerLoop();
  /// Queries the load of every upstream that is not gone.
  void PollLoads();
  void RemoveExpiredExchanges();
  /// Returns the listed upstreams that belong to a pool of the active tables,
  /// with price and slots of their pool member. The caller holds `node_mutex_`.
  std::vector<UpstreamInfo> JoinUpstreamsWithTables() const;

  const Settings settings_;
  const NodeId node_id_;

  mutable std::mutex node_mutex_;
  EntryNode node_;                                // Guarded by node_mutex_.
  TablesYaml table_texts_;                        // Guarded by node_mutex_.
  std::vector<ListedUpstream> listed_upstreams_;  // Guarded by node_mutex_.

  mutable std::mutex exchanges_mutex_;
  std::unordered_map<RequestId, std::shared_ptr<Exchange>> exchanges_;
  std::deque<std::pair<std::chrono::steady_clock::time_point, RequestId>>
      finished_exchanges_;  // Both guarded by exchanges_mutex_.

  std::atomic<bool> drained_ = false;
  std::mutex stop_mutex_;
  std::condition_variable stop_requested_;
  bool stopping_ = false;  // Guarded by stop_mutex_.

  ClaimStore claim_store_;
  WorkerPool workers_;            // Calls to peers.
  WorkerPool hand_over_workers_;  // Requests handed off to this entry.
  WorkerPool load_pollers_;       // Load polls.
  std::unique_ptr<PeerLink> peer_link_;
  std::thread timer_thread_;
};

}  // namespace pollenledge
