#include "pollenledge/process/fair_queue.h"

#include <algorithm>
#include <cmath>

namespace pollenledge {
namespace {

// Minimum length of the window over which the service rate is measured.
constexpr Duration kMinRateWindow = std::chrono::milliseconds(500);
// Weight of the latest window in the moving average of the service rate.
constexpr double kRateGain = 0.4;
// Time without a dispatch after which a new measurement starts.
constexpr Duration kIdleTimeout = std::chrono::seconds(3);

}  // namespace

void FairQueue::Configure(const Tables& tables) {
  for (std::size_t i = 0; i < kRankCount; ++i) {
    ranks_[i].floor_share = tables.ranks[i].floor_share;
  }
  weights_.clear();
  for (const Customer& customer : tables.customers) {
    weights_[customer.name] = customer.weight;
  }
  for (RankQueue& rank : ranks_) {
    for (auto& [name, queue] : rank.customers) {
      const auto weight = weights_.find(name);
      if (weight != weights_.end()) queue.weight = weight->second;
    }
  }
}

void FairQueue::Push(const QueuedRequest& request) {
  RankQueue& rank = RankQueueOf(request.rank);
  CustomerQueue& queue = CustomerQueueOf(&rank, request.customer);
  if (queue.requests.empty()) {
    const double credit = kBurstRequests * request.cost / queue.weight;
    queue.virtual_time =
        std::max(queue.virtual_time, rank.virtual_time - credit);
    rank.backlogged.insert({queue.virtual_time, request.customer});
  }
  queue.requests.push_back(request);
  queue.queued_cost += request.cost;
  rank.queued_cost += request.cost;
  ++size_;
}

void FairQueue::Requeue(const QueuedRequest& request) {
  RankQueue& rank = RankQueueOf(request.rank);
  CustomerQueue& queue = CustomerQueueOf(&rank, request.customer);
  rank.backlogged.erase({queue.virtual_time, request.customer});
  queue.virtual_time -= request.cost / queue.weight;
  queue.requests.push_front(request);
  queue.queued_cost += request.cost;
  rank.queued_cost += request.cost;
  rank.recent_service = std::max(0.0, rank.recent_service - request.cost);
  rate_window_cost_ = std::max(0.0, rate_window_cost_ - request.cost);
  rank.backlogged.insert({queue.virtual_time, request.customer});
  ++size_;
}

std::optional<QueuedRequest> FairQueue::Peek(TimePoint now) {
  const std::optional<Rank> rank = NextRank(now);
  if (!rank.has_value()) return std::nullopt;
  RankQueue& queue = RankQueueOf(*rank);
  return queue.customers.at(queue.backlogged.begin()->second).requests.front();
}

std::optional<QueuedRequest> FairQueue::Pop(TimePoint now) {
  std::optional<QueuedRequest> next = Peek(now);
  if (!next.has_value()) return std::nullopt;
  RankQueue& rank = RankQueueOf(next->rank);
  CustomerQueue& queue = rank.customers.at(next->customer);
  rank.virtual_time = std::max(rank.virtual_time, queue.virtual_time);
  Dequeue(&rank, next->customer, 0);
  const bool is_backlogged = !queue.requests.empty();
  if (is_backlogged)
    rank.backlogged.erase({queue.virtual_time, next->customer});
  queue.virtual_time += next->cost / queue.weight;
  if (is_backlogged)
    rank.backlogged.insert({queue.virtual_time, next->customer});
  rank.recent_service += next->cost;
  RecordService(next->cost, now);
  return next;
}

bool FairQueue::Remove(const RequestId& id) {
  for (RankQueue& rank : ranks_) {
    for (auto& [name, queue] : rank.customers) {
      for (std::size_t i = 0; i < queue.requests.size(); ++i) {
        if (queue.requests[i].id != id) continue;
        Dequeue(&rank, name, i);
        return true;
      }
    }
  }
  return false;
}

std::vector<QueuedRequest> FairQueue::RemoveExpired(TimePoint now) {
  std::vector<QueuedRequest> expired;
  for (RankQueue& rank : ranks_) {
    for (auto& [name, queue] : rank.customers) {
      for (std::size_t i = 0; i < queue.requests.size();) {
        if (queue.requests[i].latest_start > now) {
          ++i;
          continue;
        }
        expired.push_back(queue.requests[i]);
        Dequeue(&rank, name, i);
      }
    }
  }
  return expired;
}

void FairQueue::AdjustCharge(const std::string& customer, Rank rank_of,
                             double predicted, double actual) {
  RankQueue& rank = RankQueueOf(rank_of);
  CustomerQueue& queue = CustomerQueueOf(&rank, customer);
  const bool is_backlogged = !queue.requests.empty();
  if (is_backlogged) rank.backlogged.erase({queue.virtual_time, customer});
  queue.virtual_time += (actual - predicted) / queue.weight;
  if (is_backlogged) rank.backlogged.insert({queue.virtual_time, customer});
  rank.recent_service = std::max(0.0, rank.recent_service + actual - predicted);
}

Duration FairQueue::EstimateWait(const std::string& customer, Rank rank_of,
                                 double cost, double capacity_rate) const {
  const double rate = std::max(service_rate_, capacity_rate);
  if (rate <= 0) return Duration(0);
  const RankQueue& rank = RankQueueOf(rank_of);
  const auto own = rank.customers.find(customer);
  const auto weight = weights_.find(customer);
  const double own_weight = weight == weights_.end() ? 1 : weight->second;
  const double own_cost =
      cost + (own == rank.customers.end() ? 0 : own->second.queued_cost);
  double ahead = own_cost - cost;
  for (const auto& [name, queue] : rank.customers) {
    if (name == customer) continue;
    ahead += std::min(queue.queued_cost, own_cost * queue.weight / own_weight);
  }
  double more_urgent = 0;
  for (std::size_t i = 0; i < static_cast<std::size_t>(rank_of); ++i) {
    more_urgent += ranks_[i].queued_cost;
  }
  const double wait_by_urgency = (ahead + more_urgent) / rate;
  const double wait_by_floor = rank.floor_share > 0
                                   ? ahead / (rank.floor_share * rate)
                                   : wait_by_urgency;
  return FromSeconds(std::min(wait_by_urgency, wait_by_floor));
}

double FairQueue::queued_cost(Rank rank) const {
  return RankQueueOf(rank).queued_cost;
}

FairQueue::CustomerQueue& FairQueue::CustomerQueueOf(RankQueue* rank,
                                                     const std::string& name) {
  const auto found = rank->customers.find(name);
  if (found != rank->customers.end()) return found->second;
  CustomerQueue& queue = rank->customers[name];
  const auto weight = weights_.find(name);
  if (weight != weights_.end()) queue.weight = weight->second;
  return queue;
}

std::optional<Rank> FairQueue::NextRank(TimePoint now) {
  if (size_ == 0) return std::nullopt;
  DecayRecentService(now);
  double total = 0;
  for (const RankQueue& rank : ranks_) total += rank.recent_service;
  for (std::size_t i = 0; i < kRankCount; ++i) {
    const RankQueue& rank = ranks_[i];
    if (rank.backlogged.empty() || rank.floor_share <= 0) continue;
    if (rank.recent_service < rank.floor_share * total)
      return static_cast<Rank>(i);
  }
  for (std::size_t i = 0; i < kRankCount; ++i) {
    if (!ranks_[i].backlogged.empty()) return static_cast<Rank>(i);
  }
  return std::nullopt;
}

void FairQueue::DecayRecentService(TimePoint now) {
  if (last_decay_ == TimePoint()) last_decay_ = now;
  if (now <= last_decay_) return;
  const double half_lives =
      ToSeconds(now - last_decay_) / ToSeconds(kServiceHalfLife);
  const double factor = std::exp2(-half_lives);
  for (RankQueue& rank : ranks_) rank.recent_service *= factor;
  last_decay_ = now;
}

void FairQueue::Dequeue(RankQueue* rank, const std::string& name,
                        std::size_t index) {
  CustomerQueue& queue = rank->customers.at(name);
  const double cost = queue.requests[index].cost;
  queue.requests.erase(queue.requests.begin() +
                       static_cast<std::ptrdiff_t>(index));
  queue.queued_cost -= cost;
  rank->queued_cost -= cost;
  if (queue.requests.empty()) {
    queue.queued_cost = 0;
    rank->backlogged.erase({queue.virtual_time, name});
  }
  if (rank->backlogged.empty()) rank->queued_cost = 0;
  --size_;
}

void FairQueue::RecordService(double cost, TimePoint now) {
  if (rate_window_start_ == TimePoint() ||
      now - rate_window_start_ > kIdleTimeout) {
    rate_window_start_ = now;
    rate_window_cost_ = 0;
  }
  rate_window_cost_ += cost;
  const Duration elapsed = now - rate_window_start_;
  if (elapsed < kMinRateWindow) return;
  const double rate = rate_window_cost_ / ToSeconds(elapsed);
  service_rate_ = service_rate_ <= 0
                      ? rate
                      : service_rate_ + kRateGain * (rate - service_rate_);
  rate_window_start_ = now;
  rate_window_cost_ = 0;
}

}  // namespace pollenledge
