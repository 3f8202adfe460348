#include "pollenledge/process/limit_buckets.h"

#include <gtest/gtest.h>

#include <array>
#include <deque>
#include <memory>
#include <random>

namespace pollenledge {
namespace {

constexpr double kRate = 36'000;
constexpr Duration kStep = std::chrono::milliseconds(10);
constexpr Duration kBeat = std::chrono::milliseconds(250);
constexpr Duration kWindow = std::chrono::seconds(8);
/// How late gossip reaches a node of a large fleet.
constexpr Duration kGossipDelay = std::chrono::seconds(2);

TimePoint At(Duration since) {
  return TimePoint(std::chrono::seconds(100)) + since;
}

/// What was admitted of one customer's requests, beside a central bucket that
/// sees the same ones.
class Admissions {
 public:
  explicit Admissions(double rate) : rate_(rate), central_level_(rate) {}

  void Refill() {
    central_level_ = std::min(rate_, central_level_ + rate_ * ToSeconds(kStep));
  }
  void Note(double units, bool is_admitted, Duration now) {
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

/// Several nodes that share one customer's limit, and a central bucket that
/// sees the same requests.
class LimitWorld {
 public:
  explicit LimitWorld(int nodes, double rate = kRate)
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
  void Connect(int node, bool connected) {
    connected_[static_cast<std::size_t>(node)] = connected;
  }

  /// From now on only the nodes below `count` hear the others in time; the
  /// rest hear of them late, and ask these.
  void SetCollectors(int count) { collectors_ = count; }

  /// Sends `rate` units a second for `time`, unevenly over the nodes.
  void Run(double rate, Duration time, std::mt19937_64* random) {
    constexpr double kMeanCost = 3000;
    std::exponential_distribution<double> cost(1 / kMeanCost);
    const double chance = rate / kMeanCost * ToSeconds(kStep);
    std::bernoulli_distribution arrives(chance);
    for (Duration end = now_ + time; now_ < end; now_ += kStep) {
      if (now_.count() % kBeat.count() == 0) Beat();
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
    // Two nodes get half of all requests.
    const std::size_t any = (*random)() % limits_.size();
    const std::size_t node = (*random)() % 2 == 0 ? any : any % 2;
    const bool is_admitted =
        !limits_[node]->Take("c", units, At(now_)).has_value();
    admissions_.Note(units, is_admitted, now_);
  }

  void Beat() {
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
        member.record.uses = uses_[j].first;
        member.silence =
            connected_[i] ? now_ - uses_[j].second : now_ - cut_at(i);
        if (IsSparse(i)) member.silence += kGossipDelay;
        others.push_back(std::move(member));
      }
      limits_[i]->Update(others, At(now_));
    }
    for (std::size_t i = 0; i < limits_.size(); ++i) AskCollectors(i);
  }

  bool IsSparse(std::size_t node) const {
    return collectors_ > 0 && node >= static_cast<std::size_t>(collectors_);
  }

  void AskCollectors(std::size_t node) {
    if (!IsSparse(node) || !connected_[node]) return;
    for (int i = 0; i < collectors_; ++i) {
      const auto collector = static_cast<std::size_t>(i);
      if (!connected_[collector]) continue;
      const std::vector<LimitLevel> levels =
          limits_[collector]->LevelsFor("n" + std::to_string(node), At(now_));
      if (levels.empty()) continue;
      limits_[node]->TakeLevels(
          {"n" + std::to_string(i), incarnations_[collector]}, levels,
          At(now_));
    }
  }

  Duration cut_at(std::size_t node) const { return uses_[node].second; }

  std::vector<std::unique_ptr<LimitBuckets>> limits_;
  std::vector<std::uint64_t> incarnations_;
  std::vector<bool> connected_;
  std::vector<std::pair<std::vector<CustomerUse>, Duration>> uses_;
  int collectors_ = 0;  ///< 0: every node hears every other in time.
  Duration now_{0};
  double rate_;
  Admissions admissions_;
};

/// A large fleet that shares one customer's limit by two collectors, as the
/// nodes do it: each asks in turn, says at once what it used of a low limit,
/// and is told at once when one has become low.
class CollectedFleet {
 public:
  CollectedFleet(int nodes, double rate, Duration period)
      : rate_(rate), period_(period), admissions_(rate) {
    const auto count = static_cast<std::size_t>(nodes);
    for (std::size_t i = 0; i < count; ++i) {
      limits_.push_back(std::make_unique<LimitBuckets>(LimitBucketOptions{}));
      limits_[i]->SetLeastNodes(nodes);
      limits_[i]->SetReportPeriod(period);
      limits_[i]->Configure({{"c", rate_, rate_}}, At(now_));
      // Spread over the period.
      asked_at_.push_back(period_ * static_cast<int>(i) / nodes - period_);
    }
    for (std::vector<Heard>& heard : heard_) heard.resize(count);
  }

  void Run(double rate, Duration time, std::mt19937_64* random) {
    constexpr double kMeanCost = 7000;
    std::exponential_distribution<double> cost(1 / kMeanCost);
    std::poisson_distribution<int> arrivals(rate / kMeanCost *
                                            ToSeconds(kStep));
    for (Duration end = now_ + time; now_ < end; now_ += kStep) {
      for (std::size_t i = 0; i < limits_.size(); ++i) {
        if (now_ - asked_at_[i] >= period_) Ask(i);
      }
      if (now_ % kCollectorPeriod == Duration(0)) Collect();
      admissions_.Refill();
      for (int n = arrivals(*random); n > 0; --n) Offer(cost(*random), random);
      admissions_.Expire(now_);
    }
  }

  /// A collector is suspended for `time`.
  void Suspend(std::size_t collector, Duration time) {
    suspended_until_[collector] = now_ + time;
  }

  /// From now on this part of what collectors say is lost.
  void Lose(double part) { loss_ = part; }

  double admitted() const { return admissions_.admitted(); }
  double central() const { return admissions_.central(); }
  double worst_window() const { return admissions_.worst_window(); }

 private:
  /// What a collector heard of a node last.
  struct Heard {
    std::vector<CustomerUse> uses;
    Duration at{0};
  };

  static constexpr std::size_t kCollectors = 2;
  static constexpr Duration kCollectorPeriod = std::chrono::milliseconds(50);
  static constexpr Duration kLowPeriod = std::chrono::milliseconds(100);

  void Offer(double units, std::mt19937_64* random) {
    const std::size_t node =
        kCollectors + (*random)() % (limits_.size() - kCollectors);
    const bool is_admitted =
        !limits_[node]->Take("c", units, At(now_)).has_value();
    admissions_.Note(units, is_admitted, now_);
    const bool is_due = now_ - asked_at_[node] >= kLowPeriod;
    if (is_admitted && is_due && limits_[node]->IsLow("c")) Ask(node);
  }

  bool IsSuspended(std::size_t node) const {
    return node < kCollectors && now_ < suspended_until_[node];
  }

  void Ask(std::size_t node) {
    if (IsSuspended(node)) return;
    asked_at_[node] = now_;
    for (std::size_t i = 0; i < kCollectors; ++i) {
      if (!IsSuspended(i)) heard_[i][node] = {limits_[node]->Uses(), now_};
    }
    if (node < kCollectors) return;
    if (limits_[node]->IsLed(At(now_))) {
      limits_[node]->Follow(static_cast<int>(limits_.size()), At(now_));
    } else {
      limits_[node]->Update(Others(node), At(now_));
    }
    for (std::size_t i = 0; i < kCollectors; ++i) Tell(i, node);
  }

  void Collect() {
    for (std::size_t i = 0; i < kCollectors; ++i) {
      if (IsSuspended(i)) continue;
      limits_[i]->Update(Others(i), At(now_));
      if (now_ - told_at_[i] < kLowPeriod || !limits_[i]->TakeLevelNews()) {
        continue;
      }
      told_at_[i] = now_;
      for (std::size_t to = kCollectors; to < limits_.size(); ++to) {
        Tell(i, to);
      }
    }
  }

  void Tell(std::size_t collector, std::size_t node) {
    if (IsSuspended(collector)) return;
    if (std::uniform_real_distribution<>(0, 1)(losses_) < loss_) return;
    const auto levels =
        limits_[collector]->LevelsFor("n" + std::to_string(node), At(now_));
    if (levels.empty()) return;
    limits_[node]->TakeLevels({"n" + std::to_string(collector), 1}, levels,
                              At(now_));
  }

  std::vector<Member> Others(std::size_t node) const {
    std::vector<Member> others;
    for (std::size_t j = 0; j < limits_.size(); ++j) {
      if (j == node) continue;
      Member member;
      member.record.id = {"n" + std::to_string(j), 1};
      const Heard& heard = heard_[node < kCollectors ? node : 1][j];
      member.record.uses = heard.uses;
      member.silence = now_ - heard.at;
      if (node >= kCollectors) member.silence += kGossipDelay;
      others.push_back(std::move(member));
    }
    return others;
  }

  std::vector<std::unique_ptr<LimitBuckets>> limits_;
  std::vector<Duration> asked_at_;
  std::array<std::vector<Heard>, kCollectors> heard_;
  std::array<Duration, kCollectors> told_at_{};
  double loss_ = 0;
  std::array<Duration, kCollectors> suspended_until_{};
  std::mt19937_64 losses_{1};
  Duration now_{0};
  double rate_;
  Duration period_;
  Admissions admissions_;
};

/// What the users allow in eight seconds: a tenth over the limit, and a slack.
double AllowedInWindow(double rate = kRate) {
  constexpr double kOverrun = 1.1;
  constexpr double kSlack = 140'000;
  return (rate * ToSeconds(kWindow) + rate) * kOverrun + kSlack;
}

class LimitBucketsSeeds : public ::testing::TestWithParam<int> {
 protected:
  std::mt19937_64 random_{static_cast<std::uint64_t>(GetParam())};
};

TEST_P(LimitBucketsSeeds, OrdinaryTrafficIsServedAsByACentralBucket) {
  LimitWorld world(7);
  world.Run(kRate * 0.55, std::chrono::seconds(10), &random_);
  const double before = world.admitted();
  const double central_before = world.central();
  world.Run(kRate * 0.55, std::chrono::seconds(60), &random_);
  EXPECT_GT(world.admitted() - before,
            0.95 * (world.central() - central_before));
}

TEST_P(LimitBucketsSeeds, AFloodKeepsTheLimitAndDoesNotOutlastItself) {
  LimitWorld world(7);
  world.Run(kRate * 0.55, std::chrono::seconds(10), &random_);
  const double before_flood = world.admitted();
  const double central_before_flood = world.central();
  world.Run(kRate * 4, std::chrono::seconds(6), &random_);
  EXPECT_LT(world.worst_window(), AllowedInWindow());
  // The customer's ordinary requests are served again at once, but for what
  // was borrowed in the flood.
  const double before = world.admitted();
  const double central_before = world.central();
  world.Run(kRate * 0.55, std::chrono::seconds(8), &random_);
  EXPECT_GT(world.admitted() - before,
            0.5 * (world.central() - central_before));
  EXPECT_GT(world.admitted() - before_flood,
            0.95 * (world.central() - central_before_flood));
}

TEST_P(LimitBucketsSeeds, CutNodesKeepTheLimit) {
  LimitWorld world(7);
  world.Run(kRate * 0.55, std::chrono::seconds(10), &random_);
  for (int node = 0; node < 3; ++node) world.Connect(node, false);
  world.Run(kRate * 4, std::chrono::seconds(12), &random_);
  EXPECT_LT(world.worst_window(), AllowedInWindow());
}

TEST_P(LimitBucketsSeeds, RestartsKeepTheLimit) {
  LimitWorld world(7);
  world.Run(kRate * 4, std::chrono::seconds(12), &random_);
  for (int node = 0; node < 7; ++node) world.Start(node);
  world.Run(kRate * 4, std::chrono::seconds(12), &random_);
  EXPECT_LT(world.worst_window(), AllowedInWindow());
}

// Found by hunts on both sites: in a flood, nodes that owed what they had
// borrowed drew the common level down while the others spent their own burst.
TEST_P(LimitBucketsSeeds, AFloodOfALargeCustomerKeepsTheLimit) {
  constexpr double kLargeRate = 230'000;
  LimitWorld world(6, kLargeRate);
  world.Run(kLargeRate * 0.55, std::chrono::seconds(10), &random_);
  world.Run(kLargeRate * 4.2, std::chrono::seconds(12), &random_);
  EXPECT_LT(world.worst_window(), AllowedInWindow(kLargeRate));
}

// Found by a first play of 90 nodes: with parts of a ninetieth nearly every
// request was over its node's part.
TEST_P(LimitBucketsSeeds, ALargeFleetServesOrdinaryTrafficAsACentralBucket) {
  LimitWorld world(90);
  world.SetCollectors(2);
  world.Run(kRate * 0.55, std::chrono::seconds(10), &random_);
  const double before = world.admitted();
  const double central_before = world.central();
  world.Run(kRate * 0.55, std::chrono::seconds(40), &random_);
  EXPECT_GT(world.admitted() - before,
            0.95 * (world.central() - central_before));
}

TEST_P(LimitBucketsSeeds, ALargeFleetKeepsTheLimitInAFlood) {
  constexpr double kLargeRate = 230'000;
  LimitWorld world(90, kLargeRate);
  world.SetCollectors(2);
  world.Run(kLargeRate * 0.55, std::chrono::seconds(10), &random_);
  {
    SCOPED_TRACE("all nodes well");
    world.Run(kLargeRate * 4.2, std::chrono::seconds(12), &random_);
    EXPECT_LT(world.worst_window(), AllowedInWindow(kLargeRate));
  }
  {
    SCOPED_TRACE("the first collector restarts");
    world.Start(0);
    world.Run(kLargeRate * 4.2, std::chrono::seconds(6), &random_);
    EXPECT_LT(world.worst_window(), AllowedInWindow(kLargeRate));
  }
  {
    SCOPED_TRACE("it is cut off");
    world.Connect(0, false);
    world.Run(kLargeRate * 4.2, std::chrono::seconds(6), &random_);
    EXPECT_LT(world.worst_window(), AllowedInWindow(kLargeRate));
  }
}

TEST_P(LimitBucketsSeeds, ALargeFleetWithoutCollectorsKeepsTheLimit) {
  LimitWorld world(90);
  world.SetCollectors(2);
  world.Run(kRate * 0.55, std::chrono::seconds(10), &random_);
  world.Connect(0, false);
  world.Connect(1, false);
  world.Run(kRate * 4, std::chrono::seconds(12), &random_);
  EXPECT_LT(world.worst_window(), AllowedInWindow());
}

// Guards against a flood of a large customer that nodes admit from a level that
// has long been used up (QUOTA on the grown Cymorth, hunt-7f96-3): the users'
// slack is small beside such a limit.
TEST_P(LimitBucketsSeeds, AFloodOfALargeCustomerKeepsTheLimitInALargeFleet) {
  constexpr double kLargeRate = 720'000;
  struct Size {
    int nodes;
    Duration period;
  };
  for (const Size& size : {Size{91, std::chrono::milliseconds(250)},
                           Size{295, std::chrono::milliseconds(740)}}) {
    SCOPED_TRACE(size.nodes);
    CollectedFleet fleet(size.nodes, kLargeRate, size.period);
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

// Guards against collectors that are too busy to be heard while a customer
// floods (QUOTA on the large site, scale-2: 48.7 M of 18.2 M): a node must not
// go on lending from an old level.
TEST_P(LimitBucketsSeeds, AFloodKeepsTheLimitThoughCollectorsAreHardlyHeard) {
  constexpr double kLargeRate = 1'800'000;
  CollectedFleet fleet(295, kLargeRate, std::chrono::milliseconds(740));
  fleet.Run(kLargeRate * 0.55, std::chrono::seconds(10), &random_);
  fleet.Lose(0.9);
  fleet.Run(kLargeRate * 4.2, std::chrono::seconds(12), &random_);
  EXPECT_LT(fleet.worst_window(), AllowedInWindow(kLargeRate));
}

// Guards against a collector that wakes and counts the time of its suspension
// against every customer (grown Rioni, trouble-2: half of the day refused).
TEST_P(LimitBucketsSeeds, ASuspendedCollectorIsNoDrainOnTheLimits) {
  constexpr double kLargeRate = 720'000;
  CollectedFleet fleet(91, kLargeRate, std::chrono::milliseconds(250));
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

TEST(LimitBucketsTest, ALowerLimitHoldsAtOnce) {
  LimitBuckets limits(LimitBucketOptions{});
  limits.Configure({{"c", kRate, kRate}}, At(Duration(0)));
  limits.Update({}, At(std::chrono::seconds(5)));
  limits.Configure({{"c", 100, 100}}, At(std::chrono::seconds(5)));
  EXPECT_LE(limits.CommonLevel("c"), 100);
  EXPECT_FALSE(limits.Take("c", 50, At(std::chrono::seconds(5))).has_value());
  EXPECT_TRUE(limits.Take("c", 5000, At(std::chrono::seconds(5))).has_value());
}

// Guards against a large fleet whose nodes are killed together and begin with
// more than the burst (QUOTA on the grown Rioni, limit-holder-killed-in-cut
// --seed 962043501766).
TEST(LimitBucketsTest, NodesThatStartTogetherBeginWithTheBurstAtMost) {
  constexpr int kNodes = 90;
  constexpr double kBurst = 1000;
  const TimePoint now{std::chrono::seconds(1)};
  double taken = 0;
  for (int node = 0; node < kNodes; ++node) {
    LimitBuckets buckets({.least_nodes = 8});
    buckets.Configure({{"c", 100, kBurst}}, now);
    // The number of nodes may be read after the tables.
    buckets.SetLeastNodes(kNodes);
    while (!buckets.Take("c", 1, now).has_value()) ++taken;
  }
  EXPECT_LE(taken, kBurst);
}

}  // namespace
}  // namespace pollenledge
