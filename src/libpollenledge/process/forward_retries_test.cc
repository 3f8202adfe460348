#include <gtest/gtest.h>

#include <algorithm>

#include "forward_fleet.h"
#include "pollenledge/process/fleet_size_keeper.h"

namespace pollenledge {
namespace {

using testing::Fleet;

constexpr Duration kMillisecond = std::chrono::milliseconds(1);
constexpr Duration kSecond = std::chrono::seconds(1);
constexpr Duration kWindow = 10 * kSecond;
constexpr std::size_t kNodes = 91;
constexpr double kSlack = 220;
constexpr double kRetriesPerRequest = 0.2;
constexpr Duration kBetweenArrivals = 2 * kMillisecond;

std::size_t CountIn(const std::vector<TimePoint>& times, TimePoint begin) {
  return static_cast<std::size_t>(
      std::lower_bound(times.begin(), times.end(), begin + kWindow) -
      std::lower_bound(times.begin(), times.end(), begin));
}

/// The most by which the repeats of a window exceed what they may be.
double Excess(const Fleet& fleet) {
  double most = -kSlack;
  for (const TimePoint begin : fleet.repeats) {
    const std::size_t requests =
        std::max(CountIn(fleet.first_sends, begin),
                 CountIn(fleet.first_sends, begin - kWindow));
    const double allowed =
        kRetriesPerRequest * static_cast<double>(requests) + kSlack;
    most = std::max(
        most, static_cast<double>(CountIn(fleet.repeats, begin)) - allowed);
  }
  return most;
}

void SendFor(Fleet* fleet, Duration time, int* number) {
  for (Duration passed{0}; passed < time; passed += kBetweenArrivals) {
    const int n = ++*number;
    fleet->Arrive(static_cast<std::size_t>(n) % kNodes, "read",
                  std::to_string(n));
    fleet->RunFor(kBetweenArrivals);
  }
}

// Guards against repeats beyond the bound when a large fleet starts and its
// nodes do not know each other yet (hypothesis 2 of incident BUDGET).
TEST(RetriesOfAllNodes, KeepToTheirBoundWhenAllStart) {
  Fleet fleet(kNodes, 1, kSlack);
  int number = 0;
  SendFor(&fleet, 10 * kSecond, &number);
  fleet.failing = true;
  SendFor(&fleet, 15 * kSecond, &number);
  EXPECT_LE(Excess(fleet), 0);
}

// Guards against repeats beyond the bound when the nodes of a failure domain
// start again while it is cut off, and so know only each other.
TEST(RetriesOfAllNodes, KeepToTheirBoundWhenADomainRestartsInACut) {
  Fleet fleet(kNodes, 1, kSlack);
  int number = 0;
  SendFor(&fleet, 5 * kSecond, &number);
  constexpr std::size_t kDomain = 23;
  // Nothing of before is on its way when they start.
  fleet.cut = [](std::size_t from, std::size_t to) {
    return from < kDomain || to < kDomain;
  };
  fleet.RunFor(10 * kMillisecond);
  for (std::size_t node = 0; node < kDomain; ++node) {
    fleet.Start(node);
    fleet.Tell(node, forward_event::FleetSizeRead{kNodes});
  }
  fleet.cut = [](std::size_t from, std::size_t to) {
    return (from < kDomain) != (to < kDomain);
  };
  SendFor(&fleet, 15 * kSecond, &number);
  fleet.failing = true;
  SendFor(&fleet, 15 * kSecond, &number);
  EXPECT_LE(Excess(fleet), 0);
}

// Guards against a holder that has just started, knows few nodes and takes the
// number of all back.
TEST(FleetSizeTest, GoesDownOnlyOnceTheOthersAreForgotten) {
  EXPECT_EQ(NextFleetSize(0, 1, kSecond), 1);
  EXPECT_EQ(NextFleetSize(7, 91, kSecond), 91);
  EXPECT_EQ(NextFleetSize(91, 91, kSecond), std::nullopt);
  EXPECT_EQ(NextFleetSize(91, 23, Membership::kForgetAfter), std::nullopt);
  EXPECT_EQ(NextFleetSize(91, 23, Membership::kForgetAfter + kSecond), 23);
}

}  // namespace
}  // namespace pollenledge
