#include <gtest/gtest.h>

#include "random_forward_changes.h"

namespace pollenledge::testing {
namespace {

class RequestEndTest : public ::testing::TestWithParam<int> {};

// Guards against a request that is dropped, answered twice or kept beyond its
// deadline while tables and upstreams change, and against a begun stream that
// ends although neither its upstream nor its caller broke it off.
TEST_P(RequestEndTest, EachRequestEndsOnceInTime) {
  RandomForwardChanges changes(static_cast<std::uint64_t>(GetParam()));
  changes.Run();
  const ForwardRequestChecker& checker = changes.checker();
  for (const std::string& violation : checker.violations()) {
    ADD_FAILURE() << violation << ", at "
                  << FormatMilliseconds(changes.elapsed()) << " ms";
  }
  {
    SCOPED_TRACE("all requests have ended");
    int ended = 0;
    for (const char* end : {"delivered", "failed", "rejected", "left"}) {
      const auto found = checker.ends().find(end);
      if (found != checker.ends().end()) ended += found->second;
    }
    EXPECT_EQ(ended, checker.added());
    EXPECT_EQ(changes.node().active_requests(), 0U);
    EXPECT_EQ(changes.node().queued_requests(), 0U);
  }
}

// Guards against a property that holds because nothing happens: each kind of
// end must occur, also of streams that have begun.
TEST(RequestEnds, AreOfAllKinds) {
  std::map<std::string, int> ends;
  for (std::uint64_t seed = 1; seed <= 8; ++seed) {
    RandomForwardChanges changes(seed);
    changes.Run();
    for (const auto& [end, count] : changes.checker().ends())
      ends[end] += count;
  }
  for (const char* end : {"delivered", "failed", "rejected", "left",
                          "begun delivered", "begun failed", "begun left"}) {
    EXPECT_GE(ends[end], 10) << end;
  }
}

INSTANTIATE_TEST_SUITE_P(Seeds, RequestEndTest, ::testing::Range(1, 101));

}  // namespace
}  // namespace pollenledge::testing
