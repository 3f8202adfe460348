#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <optional>
#include <string>
#include <unordered_map>

#include "pollenledge/time.h"

namespace pollenledge {

/// The servers of a process, by who connects to them. Each group has its own
/// bound on connections, so that one cannot take the others' descriptors.
enum class ClientGroup : std::uint8_t {
  kCallers,
  kPeers,      ///< Other nodes, which relay requests.
  kOperators,  ///< Administration, metrics and readiness.
  kRefused,    ///< Of any group that was full; they get a response only.
};
constexpr std::size_t kClientGroupCount = 4;

/// Limits on what a process holds for the requests and answers of all clients.
struct ByteBudgetLimits {
  /// All bytes together.
  std::size_t node_bytes = 0;
  /// Of `node_bytes`, those of requests that hold more than
  /// `ByteBudget::kSmallBytes`. The rest is left for small requests.
  std::size_t large_request_bytes = 0;
  /// Of one customer. Does not apply to the only request of a customer.
  std::size_t customer_bytes = 0;
  std::array<std::size_t, kClientGroupCount> connections{};
  /// Without progress for this long, a client may be evicted for another one.
  Duration stall_bound = std::chrono::seconds(1);

  friend bool operator==(const ByteBudgetLimits&,
                         const ByteBudgetLimits&) = default;
};

/// Returns the limits for a process that may use `memory_mb` megabytes and
/// `max_fds` descriptors; 0 stands for 512 MB and for 4,096 descriptors.
ByteBudgetLimits MakeByteBudgetLimits(std::int64_t memory_mb,
                                      std::int64_t max_fds);

/// Accounts for the bytes and connections that one process holds for its
/// clients, and decides what is admitted, refused and evicted.
///
/// A client is one connection. The account evicts a client by calling its
/// callback, which must release what the client holds, with `Close` or by
/// holding nothing. Only clients without progress are evicted, and never one
/// whose complete request is being served. A client whose progress the process
/// has not handled yet is passed over. What is held while a client is evicted,
/// such as the response to it, is counted but evicts nobody: the client that
/// needs the room may be in the middle of its own work, and two clients must
/// not evict each other. Each operation takes constant time. Not thread-safe.
class ByteBudget {
 public:
  using ClientId = std::uint64_t;

  /// Requests up to this size are limited by `node_bytes` alone.
  static constexpr std::size_t kSmallBytes = std::size_t{64} * 1024;

  /// What bytes are held for.
  enum class Stage : std::uint8_t {
    kReader,   ///< Received and not yet parsed.
    kRequest,  ///< The body, from its announcement to the end of the response.
    kAnswer,   ///< Received from the upstream and not yet forwarded.
    kWriter,   ///< Output that the client has not taken.
  };

  /// What a client does now.
  enum class Activity : std::uint8_t {
    kIdle,       ///< Connected; no byte of a request was received.
    kReceiving,  ///< Its request is incomplete.
    kServing,    ///< Its request is complete; no output is unsent.
    kSending,    ///< Its output is unsent.
    kClosing,    ///< Its request was refused; the rest of it is discarded.
  };

  /// What an eviction is to make room for.
  enum class Need : std::uint8_t { kBytes, kConnection };

  /// What the account asks a client.
  struct Callbacks {
    /// Makes room for others.
    std::function<void(Need)> evict;
    /// Returns true if bytes of a request have arrived, or output can be sent,
    /// that the process will handle but has not handled yet. Optional.
    std::function<bool()> has_unhandled_progress = nullptr;
  };

  explicit ByteBudget(const ByteBudgetLimits& limits) : limits_(limits) {}

  /// Counts a new, idle connection. Evicts another one if the group has as many
  /// as it may; returns nothing if none can be evicted.
  std::optional<ClientId> Open(ClientGroup group, Callbacks callbacks,
                               TimePoint now);
  void Close(ClientId id);

  /// Sets the customer whose limit applies. Empty: nobody's, without a limit.
  void SetCustomer(ClientId id, const std::string& customer);
  void SetActivity(ClientId id, Activity activity, TimePoint now);
  /// Bytes of an incomplete request were received, or output was taken.
  void OnProgress(ClientId id, std::size_t bytes, TimePoint now);

  /// Sets the bytes that a client holds at a stage. Evicts others if the limits
  /// are exceeded; returns false and changes nothing if that is not enough.
  bool TryHold(ClientId id, Stage stage, std::size_t bytes, TimePoint now);
  /// As `TryHold` for bytes that were received already, which are always
  /// counted. Returns false if the node's limits remain exceeded.
  bool Hold(ClientId id, Stage stage, std::size_t bytes, TimePoint now);

  std::size_t held_bytes() const { return held_bytes_; }
  std::size_t large_request_bytes() const { return large_request_bytes_; }
  std::size_t connections(ClientGroup group) const {
    return connections_[static_cast<std::size_t>(group)];
  }
  std::uint64_t evicted_count() const { return evicted_count_; }

 private:
  static constexpr std::size_t kStageCount = 4;
  static constexpr std::size_t kActivityCount = 5;
  using Order = std::list<ClientId>;

  /// A client gets one reprieve for unhandled progress until it makes a whole
  /// step of progress, so that one that trickles is evicted in the end.
  enum class Reprieve : std::uint8_t {
    kNone,
    kGranted,  ///< The progress is still to be handled.
    kUsed,     ///< It was handled, and was less than a step.
  };

  struct Client {
    ClientGroup group = ClientGroup::kCallers;
    Callbacks callbacks;
    std::string customer;
    std::array<std::size_t, kStageCount> bytes{};
    std::size_t total = 0;
    Activity activity = Activity::kIdle;
    Order::iterator position;
    TimePoint progress_at;
    std::size_t unrecorded_progress = 0;
    Reprieve reprieve = Reprieve::kNone;
  };
  struct Customer {
    std::size_t bytes = 0;
    std::size_t clients = 0;  ///< That hold bytes.
  };

  static std::size_t LargeBytes(const Client& client);
  Order& OrderOf(const Client& client) {
    return orders_[static_cast<std::size_t>(client.group)]
                  [static_cast<std::size_t>(client.activity)];
  }
  void Count(Client* client, Stage stage, std::size_t bytes);
  bool IsOverNode() const;
  bool IsOverCustomer(const Client& client) const;
  bool MakeCustomerRoom(ClientId id, TimePoint now);
  bool MakeNodeRoom(ClientId id, TimePoint now);
  bool EvictForBytes(ClientId keep, const std::string* customer, TimePoint now);
  /// Returns the largest of the longest stalled clients, or 0.
  ClientId FindLargestStalled(Activity activity, ClientId keep,
                              const std::string* customer, TimePoint now) const;
  bool EvictForConnection(ClientGroup group, TimePoint now);
  /// Evicts the client of `order` without progress for longest, and for
  /// `stall_bound` at least.
  bool EvictFirst(const Order& order, Duration stall_bound, TimePoint now);
  void RecordProgress(Client* client, TimePoint now);
  /// Returns true if the client must not be evicted now, as the process has
  /// not handled its progress yet.
  bool PassOver(ClientId id, TimePoint now);
  void Evict(ClientId id, Need need);

  ByteBudgetLimits limits_;
  ClientId next_id_ = 1;
  std::unordered_map<ClientId, Client> clients_;
  std::unordered_map<std::string, Customer> customers_;  ///< That hold bytes.
  /// Clients by group and activity, the one without progress for longest first.
  std::array<std::array<Order, kActivityCount>, kClientGroupCount> orders_;
  std::array<std::size_t, kClientGroupCount> connections_{};
  std::size_t held_bytes_ = 0;
  std::size_t large_request_bytes_ = 0;
  std::uint64_t evicted_count_ = 0;
  bool evicting_ = false;  ///< A client's `Callbacks::evict` runs.
};

}  // namespace pollenledge
