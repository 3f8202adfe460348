#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "pollenledge/request/request.h"
#include "pollenledge/time.h"
#include "pollenledge/version/tables.h"

namespace pollenledge {

/// A request that waits for dispatch.
struct QueuedRequest {
  RequestId id;
  std::string customer;
  Rank rank = Rank::kStandard;
  double cost = 0;  ///< Predicted tokens of prompt and response together.
  TimePoint enqueued_at;
  TimePoint latest_start;  ///< A later dispatch misses the latency target.

  friend bool operator==(const QueuedRequest&, const QueuedRequest&) = default;
};

/// Queues the waiting requests of one pool and decides their order of dispatch.
///
/// Ranks are served in order of urgency, except that a rank whose share of the
/// recent service is below its rank floor is served first. Within a rank,
/// customers share the service by start-time fair queueing over predicted
/// tokens (Goyal, Vin and Cheng, "Start-time Fair Queuing", SIGCOMM 1996); the
/// charge is adjusted to the actual tokens when the request finishes. The
/// unused share of a customer goes to the others and is not owed later, with
/// one exception: after an idle period a customer gets credit for
/// `kBurstRequests` requests before its share applies.
///
/// Owns copies of the waiting requests. Costs are in tokens. Not thread-safe.
/// Memory grows with the waiting requests and the customers seen, not with the
/// size of the fleet.
class FairQueue {
 public:
  /// Half-life of the recorded service per rank.
  static constexpr Duration kServiceHalfLife = std::chrono::seconds(10);

  /// Sets rank floors and customer weights from `tables`. Waiting requests stay
  /// queued.
  void Configure(const Tables& tables);

  /// Number of requests that a customer may have served ahead of its share
  /// after an idle period, so that random bursts of a small customer are
  /// served.
  static constexpr double kBurstRequests = 4;

  /// Adds a request behind its customer's other requests.
  void Push(const QueuedRequest& request);
  /// Puts a request that `Pop` returned back in front of its customer's other
  /// requests, and refunds its charge.
  void Requeue(const QueuedRequest& request);

  /// Returns the next request without removing it; nullopt if none waits.
  std::optional<QueuedRequest> Peek(TimePoint now);
  /// Removes and returns the next request, and charges its customer and rank.
  /// Returns nullopt if none waits.
  std::optional<QueuedRequest> Pop(TimePoint now);

  /// Removes a waiting request, for example because its caller disconnected.
  /// Returns false if the request is not queued.
  bool Remove(const RequestId& id);

  /// Removes and returns the requests whose latest start has passed.
  std::vector<QueuedRequest> RemoveExpired(TimePoint now);

  /// Replaces the predicted cost charged to `customer` and `rank` by the actual
  /// cost, once that is known.
  void AdjustCharge(const std::string& customer, Rank rank, double predicted,
                    double actual);

  /// Estimates how long a request of `cost` tokens would wait if it arrived
  /// now: the tokens ahead of it, divided by the larger of the recent service
  /// rate and `capacity_rate` (tokens per second). Returns zero while neither
  /// rate is known.
  Duration EstimateWait(const std::string& customer, Rank rank, double cost,
                        double capacity_rate) const;

  /// Returns the smoothed rate of dispatch, in predicted tokens per second.
  /// Periods of several seconds without a dispatch are left out.
  double service_rate() const { return service_rate_; }
  /// Returns the number of waiting requests.
  std::size_t size() const { return size_; }
  /// Returns the predicted tokens of the rank's waiting requests.
  double queued_cost(Rank rank) const;

 private:
  struct CustomerQueue {
    /// Grows by the charged tokens divided by the weight. The customer with the
    /// lowest virtual time is served next.
    double virtual_time = 0;
    double weight = 1;
    double queued_cost = 0;  ///< Predicted tokens of `requests`.
    std::deque<QueuedRequest> requests;
  };
  struct RankQueue {
    double floor_share = 0;   ///< The rank floor, as a share of the service.
    double virtual_time = 0;  ///< Of the last dispatch; never decreases.
    double queued_cost = 0;   ///< Predicted tokens of all waiting requests.
    /// Tokens dispatched, decaying with `kServiceHalfLife`.
    double recent_service = 0;
    std::map<std::string, CustomerQueue> customers;
    /// Customers with waiting requests, ordered by virtual time.
    std::set<std::pair<double, std::string>> backlogged;
  };

  RankQueue& RankQueueOf(Rank rank) {
    return ranks_[static_cast<std::size_t>(rank)];
  }
  const RankQueue& RankQueueOf(Rank rank) const {
    return ranks_[static_cast<std::size_t>(rank)];
  }
  CustomerQueue& CustomerQueueOf(RankQueue* rank, const std::string& name);
  std::optional<Rank> NextRank(TimePoint now);
  void DecayRecentService(TimePoint now);
  void Dequeue(RankQueue* rank, const std::string& name, std::size_t index);
  void RecordService(double cost, TimePoint now);

  std::array<RankQueue, kRankCount> ranks_;
  std::map<std::string, double> weights_;  ///< By customer.
  std::size_t size_ = 0;
  TimePoint last_decay_;
  TimePoint rate_window_start_;
  double rate_window_cost_ = 0;  ///< Tokens dispatched in the window.
  double service_rate_ = 0;
};

}  // namespace pollenledge
