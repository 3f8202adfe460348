#include "pollenledge/process/limit_buckets.h"

#include <gtest/gtest.h>

#include <array>
#include <deque>
#include <memory>
#include <random>

namespace pollenledge {
namespace {

/// Limit of a customer, in units per second.
constexpr double kRate = 36'000;
constexpr Duration kTimeStep = std::chrono::milliseconds(10);
constexpr Duration kHeartbeatPeriod = std::chrono::milliseconds(250);
/// Time over which admitted units are compared with the limit.
constexpr Duration kWindow = std::chrono::seconds(8);
/// Delay of gossip in a large fleet.
constexpr Duration kGossipDelay = std::chrono::seconds(2);

TimePoint At(Duration since) {
  return TimePoint(std::chrono::seconds(100)) + since;
}

/// Records the admitted requests of one customer, and what a single central
/// bucket would have admitted of the same requests.
class Admissions {
 public:
  explicit Admissions(double rate) : rate_(rate), central_level_(rate) {}

  void Refill() {
    central_level_ =
        std::min(rate_, central_level_ + rate_ * ToSeconds(kTimeStep));
  }
  void Record(double units, bool is_admitted, Duration now) {
    if (is_admitted) {
      admitted_ += units;
      window_.push_back({now, units});
      window_sum_ += units;
      worst_window_ = std::max(worst_window_, window_sum_);
    }
    if (central_level_ >= std::min(units, rate_)) {
      central_level_ -= units;
      central_ += units;
    }
  }
  void Expire(Duration now) {
    while (!window_.empty() && window_.front().first <= now - kWindow) {
      window_sum_ -= window_.front().second;
      window_.pop_front();
    }
  }

  double admitted() const { return admitted_; }
  double central() const { return central_; }
  double worst_window() const { return worst_window_; }

 private:
  double rate_;
  double central_level_;
  double admitted_ = 0;
  double central_ = 0;
  std::deque<std::pair<Duration, double>> window_;
  double window_sum_ = 0;
  double worst_window_ = 0;
};

/// Simulates nodes that share one customer's limit, and compares them with a
/// central bucket that receives the same requests.
class SimulatedFleet {
 public:
  explicit SimulatedFleet(int nodes, double rate = kRate)
      : rate_(rate), admissions_(rate) {
    for (int i = 0; i < nodes; ++i) {
      Start(i);
      connected_.push_back(true);
      uses_.emplace_back();
    }
  }

  void Start(int node) {
    auto limits = std::make_unique<LimitBuckets>(LimitBucketOptions{});
    limits->Configure({{"c", rate_, rate_}}, At(now_));
    const auto index = static_cast<std::size_t>(node);
    if (index < limits_.size()) {
      limits_[index] = std::move(limits);
      ++incarnations_[index];
    } else {
      limits_.push_back(std::move(limits));
      incarnations_.push_back(1);
    }
  }
  void SetConnected(int node, bool connected) {
    connected_[static_cast<std::size_t>(node)] = connected;
  }

  /// Makes the first `count` nodes collectors: only they receive reports of the
  /// others in time. The rest receive them late and query the collectors.
  void SetCollectors(int count) { collectors_ = count; }

  /// Sends `rate` units per second for `time`, distributed unevenly over the
  /// nodes.
  void Run(double rate, Duration time, std::mt19937_64* random) {
    constexpr double kMeanCost = 3000;
    std::exponential_distribution<double> cost(1 / kMeanCost);
    const double chance = rate / kMeanCost * ToSeconds(kTimeStep);
    std::bernoulli_distribution arrives(chance);
    for (Duration end = now_ + time; now_ < end; now_ += kTimeStep) {
      if (now_.count() % kHeartbeatPeriod.count() == 0) ExchangeHeartbeats();
      admissions_.Refill();
      if (arrives(*random)) Offer(cost(*random), random);
      admissions_.Expire(now_);
    }
  }

  double admitted() const { return admissions_.admitted(); }
  double central() const { return admissions_.central(); }
  double worst_window() const { return admissions_.worst_window(); }

 private:
  void Offer(double units, std::mt19937_64* random) {
    // Two nodes receive more than half of all requests.
    const std::size_t any = (*random)() % limits_.size();
    const std::size_t node = (*random)() % 2 == 0 ? any : any % 2;
    const bool is_admitted =
        !limits_[node]->Acquire("c", units, At(now_)).has_value();
    admissions_.Record(units, is_admitted, now_);
  }

  void ExchangeHeartbeats() {
    for (std::size_t i = 0; i < limits_.size(); ++i) {
      if (!connected_[i]) continue;
      uses_[i] = {limits_[i]->Uses(), now_};
    }
    for (std::size_t i = 0; i < limits_.size(); ++i) {
      std::vector<Member> others;
      for (std::size_t j = 0; j < limits_.size(); ++j) {
        if (i == j) continue;
        Member member;
        member.record.id = {"n" + std::to_string(j), incarnations_[j]};
        member.record.customer_usage = uses_[j].first;
        member.since_heartbeat =
            connected_[i] ? now_ - uses_[j].second : now_ - partitioned_at(i);
        if (IsFollower(i)) member.since_heartbeat += kGossipDelay;
        others.push_back(std::move(member));
      }
      limits_[i]->UpdateFromMembers(others, At(now_));
    }
    for (std::size_t i = 0; i < limits_.size(); ++i) PollCollectors(i);
  }

  bool IsFollower(std::size_t node) const {
    return collectors_ > 0 && node >= static_cast<std::size_t>(collectors_);
  }

  void PollCollectors(std::size_t node) {
    if (!IsFollower(node) || !connected_[node]) return;
    for (int i = 0; i < collectors_; ++i) {
      const auto collector = static_cast<std::size_t>(i);
      if (!connected_[collector]) continue;
      const std::vector<LimitLevel> levels =
          limits_[collector]->LevelsFor("n" + std::to_string(node), At(now_));
      if (levels.empty()) continue;
      limits_[node]->ApplyCollectorLevels(
          {"n" + std::to_string(i), incarnations_[collector]}, levels,
          At(now_));
    }
  }

  Duration partitioned_at(std::size_t node) const { return uses_[node].second; }

  std::vector<std::unique_ptr<LimitBuckets>> limits_;
  std::vector<std::uint64_t> incarnations_;
  std::vector<bool> connected_;
  std::vector<std::pair<std::vector<CustomerUsage>, Duration>> uses_;
  int collectors_ = 0;  ///< 0: all nodes receive all reports in time.
  Duration now_{0};
  double rate_;
  Admissions admissions_;
};

/// Simulates a large fleet that shares one customer's limit through two
/// collectors. As in production, each node polls the collectors once per
/// period, reports its use of a limit with a low level at once, and receives a
/// level at once when it becomes low.
class SimulatedCollectorFleet {
 public:
  SimulatedCollectorFleet(int nodes, double rate, Duration period)
      : rate_(rate), period_(period), admissions_(rate) {
    const auto count = static_cast<std::size_t>(nodes);
    for (std::size_t i = 0; i < count; ++i) {
      limits_.push_back(std::make_unique<LimitBuckets>(LimitBucketOptions{}));
      limits_[i]->SetMinNodes(nodes);
      limits_[i]->SetReportPeriod(period);
      limits_[i]->Configure({{"c", rate_, rate_}}, At(now_));
      // Spreads the polls over the period.
      polled_at_.push_back(period_ * static_cast<int>(i) / nodes - period_);
    }
    for (std::vector<ReceivedReport>& row : received_) row.resize(count);
  }

  void Run(double rate, Duration time, std::mt19937_64* random) {
    constexpr double kMeanCost = 7000;
    std::exponential_distribution<double> cost(1 / kMeanCost);
    std::poisson_distribution<int> arrivals(rate / kMeanCost *
                                            ToSeconds(kTimeStep));
    for (Duration end = now_ + time; now_ < end; now_ += kTimeStep) {
      for (std::size_t i = 0; i < limits_.size(); ++i) {
        if (now_ - polled_at_[i] >= period_) Poll(i);
      }
      if (now_ % kCollectorPeriod == Duration(0)) Collect();
      admissions_.Refill();
      for (int n = arrivals(*random); n > 0; --n) Offer(cost(*random), random);
      admissions_.Expire(now_);
    }
  }

  /// Suspends a collector for `time`.
  void Suspend(std::size_t collector, Duration time) {
    suspended_until_[collector] = now_ + time;
  }

  /// Sets the fraction of the collectors' messages that is lost from now on.
  void SetLossRate(double loss_rate) { loss_rate_ = loss_rate; }

  double admitted() const { return admissions_.admitted(); }
  double central() const { return admissions_.central(); }
  double worst_window() const { return admissions_.worst_window(); }

 private:
  /// Last report of a node that a collector received.
  struct ReceivedReport {
    std::vector<CustomerUsage> uses;
    Duration at{0};
  };

  static constexpr std::size_t kCollectors = 2;
  static constexpr Duration kCollectorPeriod = std::chrono::milliseconds(50);
  /// Minimum time between two reports of a node, and between two broadcasts of
  /// a collector, that are sent at once because a level is low.
  static constexpr Duration kLowPeriod = std::chrono::milliseconds(100);

  void Offer(double units, std::mt19937_64* random) {
    const std::size_t node =
        kCollectors + (*random)() % (limits_.size() - kCollectors);
    const bool is_admitted =
        !limits_[node]->Acquire("c", units, At(now_)).has_value();
    admissions_.Record(units, is_admitted, now_);
    const bool is_due = now_ - polled_at_[node] >= kLowPeriod;
    if (is_admitted && is_due && limits_[node]->IsLow("c")) Poll(node);
  }

  bool IsSuspended(std::size_t node) const {
    return node < kCollectors && now_ < suspended_until_[node];
  }

  void Poll(std::size_t node) {
    if (IsSuspended(node)) return;
    polled_at_[node] = now_;
    for (std::size_t i = 0; i < kCollectors; ++i) {
      if (!IsSuspended(i)) received_[i][node] = {limits_[node]->Uses(), now_};
    }
    if (node < kCollectors) return;
    if (limits_[node]->HasCollectorState(At(now_))) {
      limits_[node]->UpdateAsFollower(static_cast<int>(limits_.size()),
                                      At(now_));
    } else {
      limits_[node]->UpdateFromMembers(OtherMembers(node), At(now_));
    }
    for (std::size_t i = 0; i < kCollectors; ++i) SendLevels(i, node);
  }

  void Collect() {
    for (std::size_t i = 0; i < kCollectors; ++i) {
      if (IsSuspended(i)) continue;
      limits_[i]->UpdateFromMembers(OtherMembers(i), At(now_));
      if (now_ - levels_sent_at_[i] < kLowPeriod ||
          !limits_[i]->ConsumeLevelDrop()) {
        continue;
      }
      levels_sent_at_[i] = now_;
      for (std::size_t to = kCollectors; to < limits_.size(); ++to) {
        SendLevels(i, to);
      }
    }
  }

  void SendLevels(std::size_t collector, std::size_t node) {
    if (IsSuspended(collector)) return;
    if (std::uniform_real_distribution<>(0, 1)(losses_) < loss_rate_) return;
    const auto levels =
        limits_[collector]->LevelsFor("n" + std::to_string(node), At(now_));
    if (levels.empty()) return;
    limits_[node]->ApplyCollectorLevels({"n" + std::to_string(collector), 1},
                                        levels, At(now_));
  }

  std::vector<Member> OtherMembers(std::size_t node) const {
    std::vector<Member> others;
    for (std::size_t j = 0; j < limits_.size(); ++j) {
      if (j == node) continue;
      Member member;
      member.record.id = {"n" + std::to_string(j), 1};
      const ReceivedReport& report =
          received_[node < kCollectors ? node : 1][j];
      member.record.customer_usage = report.uses;
      member.since_heartbeat = now_ - report.at;
      if (node >= kCollectors) member.since_heartbeat += kGossipDelay;
      others.push_back(std::move(member));
    }
    return others;
  }

  std::vector<std::unique_ptr<LimitBuckets>> limits_;
  std::vector<Duration> polled_at_;
  std::array<std::vector<ReceivedReport>, kCollectors> received_;
  std::array<Duration, kCollectors> levels_sent_at_{};
  double loss_rate_ = 0;
  std::array<Duration, kCollectors> suspended_until_{};
  std::mt19937_64 losses_{1};  ///< Random numbers for lost messages.
  Duration now_{0};
  double rate_;
  Duration period_;
  Admissions admissions_;
};

/// Returns the units that the requirements allow to be admitted within
/// `kWindow` (8 s): the limit and the burst plus 10%, and a fixed slack.
double AllowedInWindow(double rate = kRate) {
  constexpr double kOverrun = 1.1;
  constexpr double kSlack = 140'000;
  return (rate * ToSeconds(kWindow) + rate) * kOverrun + kSlack;
}

class LimitBucketsSeeds : public ::testing::TestWithParam<int> {
 protected:
  std::mt19937_64 random_{static_cast<std::uint64_t>(GetParam())};
};

TEST_P(LimitBucketsSeeds, OrdinaryTrafficIsAdmittedLikeByACentralBucket) {
  SimulatedFleet fleet(7);
  fleet.Run(kRate * 0.55, std::chrono::seconds(10), &random_);
  const double before = fleet.admitted();
  const double central_before = fleet.central();
  fleet.Run(kRate * 0.55, std::chrono::seconds(60), &random_);
  EXPECT_GT(fleet.admitted() - before,
            0.95 * (fleet.central() - central_before));
}

TEST_P(LimitBucketsSeeds, FloodKeepsTheLimitAndTrafficRecoversAfterwards) {
  SimulatedFleet fleet(7);
  fleet.Run(kRate * 0.55, std::chrono::seconds(10), &random_);
  const double before_flood = fleet.admitted();
  const double central_before_flood = fleet.central();
  fleet.Run(kRate * 4, std::chrono::seconds(6), &random_);
  EXPECT_LT(fleet.worst_window(), AllowedInWindow());
  // The customer's ordinary requests are admitted again at once, except for the
  // units that were borrowed during the flood.
  const double before = fleet.admitted();
  const double central_before = fleet.central();
  fleet.Run(kRate * 0.55, std::chrono::seconds(8), &random_);
  EXPECT_GT(fleet.admitted() - before,
            0.5 * (fleet.central() - central_before));
  EXPECT_GT(fleet.admitted() - before_flood,
            0.95 * (fleet.central() - central_before_flood));
}

TEST_P(LimitBucketsSeeds, PartitionedNodesKeepTheLimit) {
  SimulatedFleet fleet(7);
  fleet.Run(kRate * 0.55, std::chrono::seconds(10), &random_);
  for (int node = 0; node < 3; ++node) fleet.SetConnected(node, false);
  fleet.Run(kRate * 4, std::chrono::seconds(12), &random_);
  EXPECT_LT(fleet.worst_window(), AllowedInWindow());
}

TEST_P(LimitBucketsSeeds, RestartedNodesKeepTheLimit) {
  SimulatedFleet fleet(7);
  fleet.Run(kRate * 4, std::chrono::seconds(12), &random_);
  for (int node = 0; node < 7; ++node) fleet.Start(node);
  fleet.Run(kRate * 4, std::chrono::seconds(12), &random_);
  EXPECT_LT(fleet.worst_window(), AllowedInWindow());
}

// In a flood, nodes that borrowed lowered the global level while the other
// nodes also used up the burst of their local buckets, which exceeded the
// limit.
TEST_P(LimitBucketsSeeds, FloodOfALargeCustomerKeepsTheLimit) {
  constexpr double kLargeRate = 230'000;
  SimulatedFleet fleet(6, kLargeRate);
  fleet.Run(kLargeRate * 0.55, std::chrono::seconds(10), &random_);
  fleet.Run(kLargeRate * 4.2, std::chrono::seconds(12), &random_);
  EXPECT_LT(fleet.worst_window(), AllowedInWindow(kLargeRate));
}

// With 90 nodes, each local share is 1/90 of the limit, so nearly every request
// exceeded the share of its node.
TEST_P(LimitBucketsSeeds, LargeFleetAdmitsOrdinaryTrafficLikeACentralBucket) {
  SimulatedFleet fleet(90);
  fleet.SetCollectors(2);
  fleet.Run(kRate * 0.55, std::chrono::seconds(10), &random_);
  const double before = fleet.admitted();
  const double central_before = fleet.central();
  fleet.Run(kRate * 0.55, std::chrono::seconds(40), &random_);
  EXPECT_GT(fleet.admitted() - before,
            0.95 * (fleet.central() - central_before));
}

TEST_P(LimitBucketsSeeds, LargeFleetKeepsTheLimitInAFlood) {
  constexpr double kLargeRate = 230'000;
  SimulatedFleet fleet(90, kLargeRate);
  fleet.SetCollectors(2);
  fleet.Run(kLargeRate * 0.55, std::chrono::seconds(10), &random_);
  {
    SCOPED_TRACE("all nodes are healthy");
    fleet.Run(kLargeRate * 4.2, std::chrono::seconds(12), &random_);
    EXPECT_LT(fleet.worst_window(), AllowedInWindow(kLargeRate));
  }
  {
    SCOPED_TRACE("the first collector restarts");
    fleet.Start(0);
    fleet.Run(kLargeRate * 4.2, std::chrono::seconds(6), &random_);
    EXPECT_LT(fleet.worst_window(), AllowedInWindow(kLargeRate));
  }
  {
    SCOPED_TRACE("the first collector is partitioned");
    fleet.SetConnected(0, false);
    fleet.Run(kLargeRate * 4.2, std::chrono::seconds(6), &random_);
    EXPECT_LT(fleet.worst_window(), AllowedInWindow(kLargeRate));
  }
}

TEST_P(LimitBucketsSeeds, LargeFleetWithPartitionedCollectorsKeepsTheLimit) {
  SimulatedFleet fleet(90);
  fleet.SetCollectors(2);
  fleet.Run(kRate * 0.55, std::chrono::seconds(10), &random_);
  fleet.SetConnected(0, false);
  fleet.SetConnected(1, false);
  fleet.Run(kRate * 4, std::chrono::seconds(12), &random_);
  EXPECT_LT(fleet.worst_window(), AllowedInWindow());
}

// Nodes of a large fleet admitted a flood from an outdated level that was
// already used up. The allowed slack is small compared with the limit of such a
// large customer.
TEST_P(LimitBucketsSeeds, FloodOfALargeCustomerKeepsTheLimitInALargeFleet) {
  constexpr double kLargeRate = 720'000;
  struct Size {
    int nodes;
    Duration period;
  };
  for (const Size& size : {Size{91, std::chrono::milliseconds(250)},
                           Size{295, std::chrono::milliseconds(740)}}) {
    SCOPED_TRACE(size.nodes);
    SimulatedCollectorFleet fleet(size.nodes, kLargeRate, size.period);
    fleet.Run(kLargeRate * 0.55, std::chrono::seconds(10), &random_);
    const double before = fleet.admitted();
    const double central_before = fleet.central();
    fleet.Run(kLargeRate * 0.55, std::chrono::seconds(20), &random_);
    EXPECT_GT(fleet.admitted() - before,
              0.95 * (fleet.central() - central_before));
    fleet.Run(kLargeRate * 4.2, std::chrono::seconds(12), &random_);
    EXPECT_LT(fleet.worst_window(), AllowedInWindow(kLargeRate));
  }
}

// During a flood, overloaded collectors hardly reach the nodes. Nodes that went
// on borrowing from an outdated level admitted 48.7 M units
// where 18.2 M were allowed.
TEST_P(LimitBucketsSeeds, FloodKeepsTheLimitWhenMostCollectorMessagesAreLost) {
  constexpr double kLargeRate = 1'800'000;
  SimulatedCollectorFleet fleet(295, kLargeRate,
                                std::chrono::milliseconds(740));
  fleet.Run(kLargeRate * 0.55, std::chrono::seconds(10), &random_);
  fleet.SetLossRate(0.9);
  fleet.Run(kLargeRate * 4.2, std::chrono::seconds(12), &random_);
  EXPECT_LT(fleet.worst_window(), AllowedInWindow(kLargeRate));
}

// A collector that resumed after a suspension charged the suspended time to
// every customer, so that half of a day's requests were rejected.
TEST_P(LimitBucketsSeeds, ASuspendedCollectorIsNoDrainOnTheLimits) {
  constexpr double kLargeRate = 720'000;
  SimulatedCollectorFleet fleet(91, kLargeRate, std::chrono::milliseconds(250));
  fleet.Run(kLargeRate * 0.55, std::chrono::seconds(10), &random_);
  fleet.Suspend(0, std::chrono::milliseconds(7300));
  fleet.Run(kLargeRate * 0.55, std::chrono::seconds(11), &random_);
  fleet.Suspend(1, std::chrono::milliseconds(7300));
  fleet.Run(kLargeRate * 0.55, std::chrono::seconds(2), &random_);
  const double before = fleet.admitted();
  const double central_before = fleet.central();
  fleet.Run(kLargeRate * 0.55, std::chrono::seconds(20), &random_);
  EXPECT_GT(fleet.admitted() - before,
            0.95 * (fleet.central() - central_before));
  EXPECT_LT(fleet.worst_window(), AllowedInWindow(kLargeRate));
}

INSTANTIATE_TEST_SUITE_P(Seeds, LimitBucketsSeeds, ::testing::Range(1, 9));

Member MakeMember(const std::string& name, std::uint64_t incarnation,
                  std::vector<CustomerUsage> usage) {
  Member member;
  member.record.id = {name, incarnation};
  member.record.customer_usage = std::move(usage);
  return member;
}

/// Tracks the limits as a collector, in steps of 100 ms.
class CollectingBuckets : public ::testing::Test {
 protected:
  CollectingBuckets() : limits_(LimitBucketOptions{}) {
    limits_.Configure({{"a", kRate, kRate}, {"b", kRate, kRate}}, At(now_));
  }

  /// The global level is that of a full bucket from 1 s on.
  void Fill() {
    for (int i = 0; i < 12; ++i) Update({MakeMember("m", 1, {})});
  }
  void Update(const std::vector<Member>& others) {
    now_ += std::chrono::milliseconds(100);
    limits_.UpdateFromMembers(others, At(now_));
  }

  Duration now_{0};
  LimitBuckets limits_;
};

// Guards against a new collector that charges customers with all that nodes
// used since their start: it knew the nodes from heartbeats without usage, or
// with the usage of some customers only (issue 33).
TEST_F(CollectingBuckets, UseBeforeTheFirstReportIsNotCharged) {
  Fill();
  Update({MakeMember("m", 1, {{"a", 50 * kRate}})});
  EXPECT_EQ(limits_.GlobalLevel("a"), kRate);
  Update({MakeMember("m", 1, {{"a", 50 * kRate + 9000}, {"b", 70 * kRate}})});
  EXPECT_EQ(limits_.GlobalLevel("a"), kRate - 9000);
  EXPECT_EQ(limits_.GlobalLevel("b"), kRate);
}

// Guards against the opposite: a customer's first use at a node that the
// collector tracks must count.
TEST_F(CollectingBuckets, FirstUseAtATrackedNodeIsCharged) {
  Fill();
  Update({MakeMember("m", 1, {{"a", 0}, {"b", 0}})});
  Update({MakeMember("m", 1, {{"a", 9000}, {"b", 0}})});
  EXPECT_EQ(limits_.GlobalLevel("a"), kRate - 9000);
  {
    SCOPED_TRACE("the node restarts");
    Update({MakeMember("m", 2, {})});
    const double before = limits_.GlobalLevel("b");
    Update({MakeMember("m", 2, {{"a", 0}, {"b", 9000}})});
    EXPECT_EQ(limits_.GlobalLevel("b"), before - 9000);
  }
}

// Guards against a collector that is cut off and charges customers with several
// times their limit for the nodes that it cannot reach.
TEST_F(CollectingBuckets, UnresponsiveNodesAreChargedWithTheLimitAtMost) {
  constexpr int kNodes = 90;
  std::vector<Member> others;
  others.reserve(kNodes);
  for (int i = 0; i < kNodes; ++i) {
    others.push_back(MakeMember("m" + std::to_string(i), 1, {{"a", 0}}));
  }
  for (int step = 0; step < 100; ++step) {
    // Few nodes use most of the limit.
    others[static_cast<std::size_t>(step) % 10]
        .record.customer_usage.front()
        .used_units += kRate / 12;
    Update(others);
  }
  const double before = limits_.GlobalLevel("a");
  const auto run = [&](int steps) {
    for (int step = 0; step < steps; ++step) {
      for (Member& member : others) {
        member.since_heartbeat += std::chrono::milliseconds(100);
      }
      Update(others);
    }
  };
  run(20);
  const double level = limits_.GlobalLevel("a");
  // Each step refills the bucket first.
  EXPECT_GE(level, before - kRate / 10);
  run(50);
  EXPECT_NEAR(limits_.GlobalLevel("a"), level, 1);
}

// Guards against a collector that charges customers with the time for which it
// was suspended: it took the nodes' last reports before that as the starting
// points of their use.
TEST_F(CollectingBuckets, AReportBeforeASuspensionIsNoStartingPoint) {
  Fill();
  Member member = MakeMember("m", 1, {{"a", 5000}});
  Update({member});
  now_ += std::chrono::seconds(7);
  member.since_heartbeat = std::chrono::seconds(7);
  Update({member});
  Update({MakeMember("m", 1, {{"a", 5000 + 7 * kRate}})});
  EXPECT_GT(limits_.GlobalLevel("a"), 0);
}

// Guards against customers that are rejected after a partition: the assumed use
// of unreachable nodes was refunded to a full bucket when they were heard of,
// and their actual use was charged when they reported it.
TEST_F(CollectingBuckets, ActualUseReplacesTheAssumedOne) {
  Fill();
  Member member = MakeMember("m", 1, {{"a", 0}});
  Update({member});
  for (int step = 0; step < 100; ++step) {
    member.since_heartbeat += std::chrono::milliseconds(100);
    Update({member});
  }
  const double before = limits_.GlobalLevel("a");
  {
    SCOPED_TRACE("a heartbeat that another node passed on, without usage");
    Update({MakeMember("m", 1, {})});
  }
  {
    SCOPED_TRACE("the report: the node used its share");
    const double share = kRate / 8 * 9;
    Update({MakeMember("m", 1, {{"a", share}})});
  }
  EXPECT_GE(limits_.GlobalLevel("a"), before);
}

// Guards against a rejection that says when to come back with a time in the
// past, so that no Retry-After was sent.
TEST(LimitBucketsTest, ARejectionStatesTheTimeUntilTheLevelSuffices) {
  LimitBuckets limits(LimitBucketOptions{});
  limits.Configure({{"c", 1000, 1000}}, At(Duration(0)));
  Duration now{0};
  for (; now < std::chrono::seconds(3); now += std::chrono::milliseconds(100)) {
    limits.UpdateFromMembers({MakeMember("m", 1, {{"c", 0}})}, At(now));
  }
  limits.UpdateFromMembers({MakeMember("m", 1, {{"c", 2500}})}, At(now));
  ASSERT_LT(limits.GlobalLevel("c"), -1000);
  const std::optional<Duration> wait = limits.Acquire("c", 10, At(now));
  ASSERT_TRUE(wait.has_value());
  EXPECT_GE(*wait, std::chrono::milliseconds(1000));
  EXPECT_LE(*wait, std::chrono::milliseconds(2000));
}

TEST(LimitBucketsTest, LowerLimitAppliesImmediately) {
  LimitBuckets limits(LimitBucketOptions{});
  limits.Configure({{"c", kRate, kRate}}, At(Duration(0)));
  limits.UpdateFromMembers({}, At(std::chrono::seconds(5)));
  limits.Configure({{"c", 100, 100}}, At(std::chrono::seconds(5)));
  EXPECT_LE(limits.GlobalLevel("c"), 100);
  EXPECT_FALSE(
      limits.Acquire("c", 50, At(std::chrono::seconds(5))).has_value());
  EXPECT_TRUE(
      limits.Acquire("c", 5000, At(std::chrono::seconds(5))).has_value());
}

// When all nodes of a large fleet restart at the same time, their initial local
// levels together must not exceed the burst.
TEST(LimitBucketsTest, NodesThatStartTogetherAdmitAtMostTheBurst) {
  constexpr int kNodes = 90;
  constexpr double kBurst = 1000;
  const TimePoint now{std::chrono::seconds(1)};
  double taken = 0;
  for (int node = 0; node < kNodes; ++node) {
    LimitBuckets buckets({.min_nodes = 8});
    buckets.Configure({{"c", 100, kBurst}}, now);
    // The fleet size may become known only after the tables are loaded.
    buckets.SetMinNodes(kNodes);
    while (!buckets.Acquire("c", 1, now).has_value()) ++taken;
  }
  EXPECT_LE(taken, kBurst);
}

}  // namespace
}  // namespace pollenledge
