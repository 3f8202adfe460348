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

/// One request that waits for dispatch.
struct QueuedRequest {
  RequestId id;
  std::string customer;
  Rank rank = Rank::kStandard;
  double cost = 0;  ///< Predicted tokens, prompt and answer together.
  TimePoint enqueued_at;
  TimePoint latest_start;  ///< Dispatch after this misses the latency target.

  friend bool operator==(const QueuedRequest&, const QueuedRequest&) = default;
};

/// Orders the waiting requests of one pool.
///
/// Ranks go in order of urgency, except that a rank whose part of the recent
/// service is below its floor goes first. Within a rank customers share by
/// start-time fair queueing over predicted tokens (Goyal, Vin and Cheng,
/// "Start-time Fair Queuing", SIGCOMM 1996); the prediction is corrected when
/// the request ends. A share that a customer does not use is lent to the
/// others and not owed later, but for `kBurstRequests`: a customer that comes
/// back after a pause may have so many served before its share counts.
///
/// Not thread-safe. Memory grows with the waiting requests and the customers
/// seen, not with the fleet.
class FairQueue {
 public:
  /// Time in which the memory of past service halves.
  static constexpr Duration kServiceHalfLife = std::chrono::seconds(10);

  /// Sets floors and weights from `tables`; waiting requests stay.
  void Configure(const Tables& tables);

  /// Requests that a customer may have served ahead of its share after a
  /// pause, so that a small customer's chance bursts find service.
  static constexpr double kBurstRequests = 4;

  void Push(const QueuedRequest& request);
  /// Puts back a request that `Pop` returned, in front of its customer's
  /// others, and returns what it was charged.
  void Return(const QueuedRequest& request);

  /// The request that goes next, left in place. Nothing if all are empty.
  std::optional<QueuedRequest> Peek(TimePoint now);
  /// Takes the request that goes next and charges its customer and rank.
  std::optional<QueuedRequest> Pop(TimePoint now);

  /// Takes out a waiting request whose caller left. False if it is not here.
  bool Remove(const RequestId& id);

  /// Takes out the requests whose latest start has passed.
  std::vector<QueuedRequest> RemoveExpired(TimePoint now);

  /// Corrects what `customer` was charged, when the true cost is known.
  void Correct(const std::string& customer, Rank rank, double predicted,
               double actual);

  /// How long a request of `cost` would wait if it came now, from the tokens
  /// that go before it and the rate of service: the recent one, or
  /// `capacity_rate` tokens a second if that is more. Zero while neither is
  /// known.
  Duration EstimateWait(const std::string& customer, Rank rank, double cost,
                        double capacity_rate) const;

  /// Tokens a second dispatched while requests waited.
  double service_rate() const { return service_rate_; }
  std::size_t size() const { return size_; }
  double queued_cost(Rank rank) const;

 private:
  struct CustomerQueue {
    double virtual_time = 0;
    double weight = 1;
    double queued_cost = 0;
    std::deque<QueuedRequest> requests;
  };
  struct RankQueue {
    double floor = 0;
    double virtual_time = 0;
    double queued_cost = 0;
    double recent_service = 0;
    std::map<std::string, CustomerQueue> customers;
    /// Customers with waiting requests, by virtual time.
    std::set<std::pair<double, std::string>> active;
  };

  RankQueue& RankOf(Rank rank) {
    return ranks_[static_cast<std::size_t>(rank)];
  }
  const RankQueue& RankOf(Rank rank) const {
    return ranks_[static_cast<std::size_t>(rank)];
  }
  CustomerQueue& CustomerOf(RankQueue* rank, const std::string& name);
  std::optional<Rank> NextRank(TimePoint now);
  void Decay(TimePoint now);
  void TakeFrom(RankQueue* rank, const std::string& name, std::size_t index);
  void NoteService(double cost, TimePoint now);

  std::array<RankQueue, kRankCount> ranks_;
  std::map<std::string, double> weights_;
  std::size_t size_ = 0;
  TimePoint decayed_at_;
  TimePoint rate_since_;
  double rate_cost_ = 0;
  double service_rate_ = 0;
};

}  // namespace pollenledge
