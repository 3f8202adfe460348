// Simulates plain upstreams that share their machines with other processes: one
// upstream at a time is slow for a moment, and reports this with each response.

#include <gtest/gtest.h>

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "pollenledge/process/upstream_balancer.h"

namespace pollenledge {
namespace {

constexpr int kUpstreams = 4;
constexpr int kSlots = 6;
constexpr int kNodes = 6;
constexpr Duration kServiceTime = std::chrono::milliseconds(60);
constexpr double kSlowFactor = 2.5;
constexpr Duration kSlowTime = std::chrono::milliseconds(600);
constexpr Duration kLatencyTarget = std::chrono::milliseconds(300);
constexpr Duration kHeartbeatPeriod = std::chrono::milliseconds(250);
constexpr double kRequestsPerSecond = 30;
constexpr Duration kRunTime = std::chrono::seconds(60);

enum class Policy { kForwardUpstreams, kReportsIgnored, kOracle };

/// Nodes that send plain requests to upstreams of which one at a time is slow.
class SharedMachines {
 public:
  SharedMachines(Policy policy, std::uint64_t seed)
      : policy_(policy), random_(seed) {
    std::vector<ForwardUpstreamInfo> list;
    for (int i = 0; i < kUpstreams; ++i) {
      ForwardUpstreamInfo info;
      info.id.name = std::to_string(i);
      info.service = "s";
      info.domain = "d";
      info.slots = kSlots;
      list.push_back(info);
    }
    for (int i = 0; i < kNodes; ++i) {
      nodes_.push_back(std::make_unique<UpstreamBalancer>(seed + 100));
      nodes_.back()->SetList(list);
    }
    last_sent_at_.resize(kNodes, now_);
  }

  /// Simulates the requests that arrive within `kRunTime`.
  void Run() {
    std::exponential_distribution<double> gap(kRequestsPerSecond);
    const TimePoint end = now_ + kRunTime;
    TimePoint next_arrival = now_ + FromSeconds(gap(random_));
    TimePoint heartbeat = now_ + kHeartbeatPeriod;
    while (now_ < end) {
      const TimePoint next_completion =
          completions_.empty() ? TimePoint::max() : completions_.begin()->first;
      now_ = std::min({next_arrival, heartbeat, next_completion});
      if (now_ == next_completion) {
        const auto action = std::move(completions_.begin()->second);
        completions_.erase(completions_.begin());
        action();
      } else if (now_ == heartbeat) {
        SendReports();
        heartbeat += kHeartbeatPeriod;
      } else {
        HandleArrival();
        next_arrival += FromSeconds(gap(random_));
      }
    }
  }

  /// Returns the share of the requests that complete within the target.
  double ShareInTime() const {
    return static_cast<double>(in_time_) / requests_;
  }
  /// Returns the mean time of a request, in seconds.
  double MeanSeconds() const { return total_s_ / requests_; }

 private:
  bool IsSlow(int upstream) const {
    return now_.time_since_epoch() / kSlowTime % kUpstreams == upstream;
  }

  int FastestUpstream() const {
    int best = 0;
    for (int i = 1; i < kUpstreams; ++i) {
      const auto cost = [this](int at) {
        return std::pair(IsSlow(at), running_.count(at) ? running_.at(at) : 0);
      };
      if (cost(i) < cost(best)) best = i;
    }
    return best;
  }

  void HandleArrival() {
    ++requests_;
    const std::size_t at = random_() % nodes_.size();
    UpstreamBalancer& node = *nodes_[at];
    UpstreamCriteria criteria;
    criteria.service = "s";
    criteria.own_domain = "d";
    ForwardUpstream* upstream =
        policy_ == Policy::kOracle
            ? node.Find(std::to_string(FastestUpstream()))
            : node.Choose(criteria, now_);
    if (upstream == nullptr) return;
    node.OnSent(upstream, 0, now_);
    const int index = std::stoi(upstream->info.id.name);
    const int running = ++running_[index];
    const double queue = std::max(0, running - kSlots) / double{kSlots};
    const double times = (IsSlow(index) ? kSlowFactor : 1) * (1 + queue);
    const Duration duration = FromSeconds(ToSeconds(kServiceTime) * times);
    completions_.emplace(now_ + duration, [this, at, index, duration] {
      --running_[index];
      if (duration <= kLatencyTarget) ++in_time_;
      total_s_ += ToSeconds(duration);
      UpstreamBalancer& sender = *nodes_[at];
      ForwardUpstream* target = sender.Find(std::to_string(index));
      sender.OnAttemptEnded(target, ForwardOutcome::kCompleted, now_);
      if (policy_ == Policy::kReportsIgnored) return;
      const int percent = IsSlow(index) ? 250 : 100;
      sender.OnLoadReport(target, {running_[index], 0, kSlots, percent}, now_);
    });
  }

  /// Each node sends every other the reports received since the last heartbeat.
  void SendReports() {
    for (std::size_t from = 0; from < nodes_.size(); ++from) {
      const auto reports =
          nodes_[from]->DirectReportsSince(last_sent_at_[from], now_);
      last_sent_at_[from] = now_;
      for (std::size_t to = 0; to < nodes_.size(); ++to) {
        if (to != from) nodes_[to]->MergePeerReports(reports, now_);
      }
    }
  }

  Policy policy_;
  std::mt19937_64 random_;
  TimePoint now_{std::chrono::seconds(100)};
  std::vector<std::unique_ptr<UpstreamBalancer>> nodes_;
  std::vector<TimePoint> last_sent_at_;
  std::map<int, int> running_;
  std::multimap<TimePoint, std::function<void()>> completions_;
  int requests_ = 0;
  int in_time_ = 0;
  double total_s_ = 0;
};

class SharedMachinesSeeds : public ::testing::TestWithParam<int> {};

TEST_P(SharedMachinesSeeds, RequestsMoveAwayFromSlowMachines) {
  const auto seed = static_cast<std::uint64_t>(GetParam());
  SharedMachines balanced(Policy::kForwardUpstreams, seed);
  SharedMachines reports_ignored(Policy::kReportsIgnored, seed);
  SharedMachines oracle(Policy::kOracle, seed);
  for (SharedMachines* run : {&balanced, &reports_ignored, &oracle}) run->Run();
  EXPECT_GE(balanced.ShareInTime(), 0.95);
  // The reports give at least a third of the advantage that the oracle has.
  EXPECT_LT(balanced.MeanSeconds(),
            reports_ignored.MeanSeconds() -
                (reports_ignored.MeanSeconds() - oracle.MeanSeconds()) / 3)
      << "reports ignored " << reports_ignored.MeanSeconds() << ", oracle "
      << oracle.MeanSeconds();
}

INSTANTIATE_TEST_SUITE_P(Seeds, SharedMachinesSeeds, ::testing::Range(1, 6));

}  // namespace
}  // namespace pollenledge
