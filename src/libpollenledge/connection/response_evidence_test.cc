#include "pollenledge/connection/response_evidence.h"

#include <gtest/gtest.h>

namespace pollenledge {
namespace {

struct EvidenceCase {
  bool names_request;
  int earlier_requests;
  bool belongs;
};

class ResponseEvidenceTest : public ::testing::TestWithParam<EvidenceCase> {};

// Guards against a late copy of an earlier response that is taken for the
// response to the current request (MIXED, REFUSED).
TEST_P(ResponseEvidenceTest, BelongsToTheRequestThatItNamesOrToTheOnlyOne) {
  const EvidenceCase& given = GetParam();
  for (const BodyFraming framing :
       {BodyFraming::kNone, BodyFraming::kLength, BodyFraming::kChunks,
        BodyFraming::kConnectionEnd}) {
    EXPECT_EQ(BelongsToRequest(
                  {framing, given.names_request, given.earlier_requests}),
              given.belongs);
  }
}

INSTANTIATE_TEST_SUITE_P(Cases, ResponseEvidenceTest,
                         ::testing::Values(EvidenceCase{true, 0, true},
                                           EvidenceCase{false, 0, true},
                                           EvidenceCase{true, 1, true},
                                           EvidenceCase{false, 1, false},
                                           EvidenceCase{false, 500, false}));

}  // namespace
}  // namespace pollenledge
