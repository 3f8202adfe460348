#include <gtest/gtest.h>

#include <algorithm>

#include "forward_fleet.h"
#include "pollenledge/process/fleet_size_sync.h"

namespace pollenledge {
namespace {

using testing::ForwardFleet;

constexpr Duration kMillisecond = std::chrono::milliseconds(1);
constexpr Duration kSecond = std::chrono::seconds(1);
/// Time over which retries are counted and limited.
constexpr Duration kWindow = 10 * kSecond;
constexpr std::size_t kNodes = 91;
/// Retries of the whole fleet that are allowed in each window in addition to
/// `kRetriesPerRequest`.
constexpr double kRetrySlack = 220;
constexpr double kRetriesPerRequest = 0.2;
constexpr Duration kArrivalInterval = 2 * kMillisecond;

/// Returns the number of `times` that lie in the window that starts at `begin`.
std::size_t CountIn(const std::vector<TimePoint>& times, TimePoint begin) {
  return static_cast<std::size_t>(
      std::lower_bound(times.begin(), times.end(), begin + kWindow) -
      std::lower_bound(times.begin(), times.end(), begin));
}

/// Returns the maximum, over all windows, of the number of retries minus the
/// number that is allowed.
double MaxExcessRetries(const ForwardFleet& fleet) {
  double max_excess = -kRetrySlack;
  for (const TimePoint begin : fleet.retry_times) {
    const std::size_t requests =
        std::max(CountIn(fleet.first_send_times, begin),
                 CountIn(fleet.first_send_times, begin - kWindow));
    const double allowed =
        kRetriesPerRequest * static_cast<double>(requests) + kRetrySlack;
    max_excess = std::max(
        max_excess,
        static_cast<double>(CountIn(fleet.retry_times, begin)) - allowed);
  }
  return max_excess;
}

/// Sends requests to the nodes in turn for `time`; `number` counts them.
void SendFor(ForwardFleet* fleet, Duration time, int* number) {
  for (Duration elapsed{0}; elapsed < time; elapsed += kArrivalInterval) {
    const int n = ++*number;
    fleet->SubmitRequest(static_cast<std::size_t>(n) % kNodes, "read",
                         std::to_string(n));
    fleet->RunFor(kArrivalInterval);
  }
}

// Guards against retries beyond the fleet-wide limit when a large fleet starts
// and its nodes do not know each other yet (hypothesis 2 of incident BUDGET).
TEST(RetriesOfAllNodes, StayWithinTheLimitWhenAllNodesStart) {
  ForwardFleet fleet(kNodes, 1, kRetrySlack);
  int number = 0;
  SendFor(&fleet, 10 * kSecond, &number);
  fleet.upstreams_fail = true;
  SendFor(&fleet, 15 * kSecond, &number);
  EXPECT_LE(MaxExcessRetries(fleet), 0);
}

// Guards against retries beyond the fleet-wide limit when the nodes of a
// partitioned failure domain restart and so know only each other.
TEST(RetriesOfAllNodes, StayWithinTheLimitWhenAPartitionedDomainRestarts) {
  ForwardFleet fleet(kNodes, 1, kRetrySlack);
  int number = 0;
  SendFor(&fleet, 5 * kSecond, &number);
  // The first nodes form the failure domain.
  constexpr std::size_t kDomainNodes = 23;
  // Let all datagrams in transit be lost before the nodes restart.
  fleet.is_partitioned = [](std::size_t from, std::size_t to) {
    return from < kDomainNodes || to < kDomainNodes;
  };
  fleet.RunFor(10 * kMillisecond);
  for (std::size_t node = 0; node < kDomainNodes; ++node) {
    fleet.StartNode(node);
    fleet.Submit(node, forward_event::FleetSizeRead{kNodes});
  }
  fleet.is_partitioned = [](std::size_t from, std::size_t to) {
    return (from < kDomainNodes) != (to < kDomainNodes);
  };
  SendFor(&fleet, 15 * kSecond, &number);
  fleet.upstreams_fail = true;
  SendFor(&fleet, 15 * kSecond, &number);
  EXPECT_LE(MaxExcessRetries(fleet), 0);
}

// Guards against a lease holder that has just started, knows few nodes and
// lowers the stored fleet size although the other nodes still run.
TEST(FleetSizeTest, DecreasesOnlyAfterTheHolderRanForTheForgetTimeout) {
  EXPECT_EQ(NextFleetSize(0, 1, kSecond), 1);
  EXPECT_EQ(NextFleetSize(7, 91, kSecond), 91);
  EXPECT_EQ(NextFleetSize(91, 91, kSecond), std::nullopt);
  EXPECT_EQ(NextFleetSize(91, 23, Membership::kForgetTimeout), std::nullopt);
  EXPECT_EQ(NextFleetSize(91, 23, Membership::kForgetTimeout + kSecond), 23);
}

}  // namespace
}  // namespace pollenledge
