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
#include "pollenledge/request/answer_buffer.h"
#include "pollenledge/request/completion.h"

namespace pollenledge {

/// What an exchange is told by the deciding code.
using ExchangeOrder = std::variant<action::Dispatch, action::Answer,
                                   action::Replay, action::HandOver>;

/// The I/O side of one request: its mailbox of orders, the connection of its
/// attempt, and its answer. Shared by the thread that runs the request and
/// those that stop or fetch it. Its lock is taken under no other.
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
  AnswerBuffer& answer() { return answer_; }
  AttemptControl& control() { return control_; }

  void Order(ExchangeOrder order);
  /// The next order, or nothing after `wait`.
  std::optional<ExchangeOrder> NextOrder(Duration wait);

 private:
  const RequestId id_;
  const std::string customer_;
  const std::string path_;
  const std::string body_;
  AnswerBuffer answer_;
  AttemptControl control_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::deque<ExchangeOrder> orders_;
};

/// How a request ended on this entry, for the thread that talks to its caller.
struct HandedOverTo {
  NodeId peer;
};
using ExchangeEnd = std::variant<Outcome, ClaimRecord, HandedOverTo>;

/// Takes the answer towards the caller while it comes. Both functions return
/// false if the caller left.
struct CallerSink {
  std::function<bool(const std::string& event, std::int64_t tokens)> on_event;
  std::function<bool()> still_there;
};

/// Runs an `EntryNode` over real sockets and clocks.
///
/// Lock order: the node's lock, then nothing. Actions are carried out after
/// the node's lock is released; exchanges, buffers, the claim store and the
/// worker pool each have a lock of their own that is held under no other.
/// Thread-safe.
class EntryService : public PeerService {
 public:
  EntryService(const Settings& settings, NodeId node);
  ~EntryService() override;

  EntryService(const EntryService&) = delete;
  EntryService& operator=(const EntryService&) = delete;

  /// Starts the peer link and the timers.
  void Start();

  /// The tables in force; null before there are any.
  std::shared_ptr<const Tables> tables() const;
  bool ready() const;
  /// True once a drain has ended and the process may stop.
  bool drained() const { return drained_; }
  void Drain(std::optional<Duration> remaining);
  std::string Metrics() const;

  /// Creates the exchange of a new request.
  std::shared_ptr<Exchange> Open(const std::string& customer,
                                 const std::string& path,
                                 const std::string& body);
  /// Admits the request and runs it until it ends, on the calling thread.
  ExchangeEnd RunCompletion(const std::shared_ptr<Exchange>& exchange,
                            const CompletionRequest& request,
                            const CallerSink& sink);
  /// The same for a call of a plain service, `call` without its address.
  ExchangeEnd RunService(const std::shared_ptr<Exchange>& exchange,
                         const RequestSpec& spec, const ServiceAttempt& call,
                         HttpAnswer* answer);

  /// Reads the answer of a request from `offset` on, here or at a peer.
  /// `wait` bounds the wait for more of a local one.
  FetchedAnswer FetchAnywhere(const RequestId& id, const std::string& customer,
                              std::uint64_t offset, Duration wait);

  // PeerService.
  void OnPeerEvent(EntryEvent event) override;
  HolderAnswer QueryHolder(const RequestId& id) override;
  bool HandOver(const HandOverMessage& message) override;
  FetchedAnswer Fetch(const RequestId& id, const std::string& customer,
                      std::uint64_t offset) override;
  VersionedTexts TablesInForce() override;
  std::uint64_t ApplyTables(const VersionedTexts& tables) override;
  void ListUpstreams(const std::vector<ListedUpstream>& upstreams) override;
  EntryReport Report() override;
  HybridTime Clock() override;
  void ReceiveClock(const HybridTime& remote) override;

 private:
  void Submit(const EntryEvent& event);
  void CarryOut(EntryAction action);
  void Do(const action::Dispatch& dispatch);
  void Do(const action::Interrupt& interrupt);
  void Do(const action::Answer& answer);
  void Do(const action::Replay& replay);
  void Do(const action::WriteClaimRecord& write);
  void Do(const action::ReadClaimRecord& read);
  void Do(const action::AskClaimHolder& ask);
  void Do(const action::WriteOutcome& write);
  void Do(const action::SendHeartbeat& send);
  void Do(const action::SendUpstreamNotice& send);
  void Do(const action::HandOver& hand_over);
  void Do(const action::DrainCompleted& completed);

  std::shared_ptr<Exchange> FindExchange(const RequestId& id) const;
  /// Ends an exchange. An answer is kept for a while so that it can be fetched
  /// again; a refusal is forgotten at once, or a flood would fill the memory.
  void Retire(const std::shared_ptr<Exchange>& exchange,
              const ExchangeEnd& end);
  void RunAttempt(const std::shared_ptr<Exchange>& exchange,
                  const action::Dispatch& dispatch,
                  const CompletionRequest& request, const CallerSink& sink);
  ExchangeEnd RunOrders(const std::shared_ptr<Exchange>& exchange,
                        const CompletionRequest& request,
                        const CallerSink& sink);
  bool TryHandOver(const std::shared_ptr<Exchange>& exchange,
                   const action::HandOver& order);
  void RunTakenOver(const std::shared_ptr<Exchange>& exchange,
                    const HandOverMessage& message);
  void TickUntilStopped();
  void PollLoads();
  void ForgetOldExchanges();
  std::vector<UpstreamInfo> JoinWithTables() const;

  const Settings settings_;
  const NodeId node_id_;

  mutable std::mutex node_mutex_;
  EntryNode node_;                      // Guarded by node_mutex_.
  TableTexts texts_;                    // Guarded by node_mutex_.
  std::vector<ListedUpstream> listed_;  // Guarded by node_mutex_.

  mutable std::mutex exchanges_mutex_;
  std::unordered_map<RequestId, std::shared_ptr<Exchange>> exchanges_;
  std::deque<std::pair<std::chrono::steady_clock::time_point, RequestId>>
      retired_;  // Both guarded by exchanges_mutex_.

  std::atomic<bool> drained_ = false;
  std::mutex stop_mutex_;
  std::condition_variable stop_changed_;
  bool stopping_ = false;  // Guarded by stop_mutex_.

  ClaimStore claims_;
  WorkerPool workers_;
  WorkerPool taken_over_;
  WorkerPool pollers_;
  std::unique_ptr<PeerLink> link_;
  std::thread ticker_;
};

}  // namespace pollenledge
