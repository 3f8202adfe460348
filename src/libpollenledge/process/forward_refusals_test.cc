#include <gtest/gtest.h>

#include "random_refusals.h"

namespace pollenledge::testing {
namespace {

class RefusalSeeds : public ::testing::TestWithParam<int> {};

// Guards against a request that is refused with 408, 421, 429 or 503 although
// it has run or runs later, and against one that is sent on after its response
// (REFUSED).
TEST_P(RefusalSeeds, ARefusedRequestNeverRuns) {
  RandomRefusals refusals(static_cast<std::uint64_t>(GetParam()));
  refusals.Run();
  for (const std::string& violation : refusals.violations()) {
    ADD_FAILURE() << violation;
  }
}

// Guards against a property that holds because nothing happens.
TEST(Refusals, OccurInAllWays) {
  std::map<std::string, int> counts;
  for (std::uint64_t seed = 1; seed <= 6; ++seed) {
    RandomRefusals refusals(seed);
    refusals.Run();
    for (const auto& [what, count] : refusals.counts()) counts[what] += count;
  }
  for (const char* what :
       {"refused", "refused to a node", "relay", "relay read after its end",
        "run after its attempt was given up", "cancel", "node drained",
        "refused passed on", "refused out-of-time", "refused refused",
        "refused not_sent", "refused no-room", "refused tried-alone"}) {
    EXPECT_GE(counts[what], 5) << what;
  }
  if (::testing::Test::HasFailure()) {
    for (const auto& [what, count] : counts)
      std::cerr << what << ": " << count << "\n";
  }
}

INSTANTIATE_TEST_SUITE_P(Seeds, RefusalSeeds, ::testing::Range(1, 61));

}  // namespace
}  // namespace pollenledge::testing
