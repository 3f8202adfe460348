#include "pollenledge/request/request.h"

#include <gtest/gtest.h>

namespace pollenledge {
namespace {

// Guards against 503, which says that nothing ran, for a handed-over request
// that may have run (REFUSED).
TEST(RequestOutcomeTest, OnlyARejectionHasAStatusThatSaysNotRun) {
  EXPECT_EQ(StatusWithoutResponse(NotRun{429, "limit", "", Duration(0)}), 429);
  EXPECT_EQ(StatusWithoutResponse(NotRun{}), 503);
  EXPECT_EQ(StatusWithoutResponse(UnknownOutcome{}), 502);
}

}  // namespace
}  // namespace pollenledge
