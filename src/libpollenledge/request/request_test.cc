#include "pollenledge/request/request.h"

#include <gtest/gtest.h>

#include "pollenledge/request/forward_request.h"

namespace pollenledge {
namespace {

// Guards against 503, which says that nothing ran, for a handed-over request
// that may have run (REFUSED).
TEST(RequestOutcomeTest, OnlyARejectionHasAStatusThatSaysNotRun) {
  EXPECT_EQ(StatusWithoutResponse(NotRun{429, "limit", "", Duration(0)}), 429);
  EXPECT_EQ(StatusWithoutResponse(NotRun{}), 503);
  EXPECT_EQ(StatusWithoutResponse(UnknownOutcome{}), 502);
}

// Guards against a request that isn't recognized when it comes with another
// query (review/9, BUDGET).
TEST(RequestFingerprintTest, SaysWhichRequestsDifferByTheirQueryAlone) {
  const auto of = [](const std::string& target, const std::string& body) {
    ForwardSpec spec;
    spec.path = target.substr(0, target.find('?'));
    SetContentFingerprints(target, body, &spec);
    return spec;
  };
  const ForwardSpec plain = of("/issue/2f", "ring");
  const ForwardSpec first = of("/issue/2f?n=1", "ring");
  const ForwardSpec second = of("/issue/2f?n=2", "ring");
  EXPECT_EQ(plain.path_fingerprint, std::nullopt);
  EXPECT_NE(first.content_fingerprint, second.content_fingerprint);
  EXPECT_EQ(first.path_fingerprint, second.path_fingerprint);
  EXPECT_EQ(first.path_fingerprint, plain.content_fingerprint);
  EXPECT_NE(first.path_fingerprint, of("/issue/2f?n=1", "x").path_fingerprint);
  EXPECT_NE(first.path_fingerprint, of("/other/?n=1", "ring").path_fingerprint);
}

}  // namespace
}  // namespace pollenledge
