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

// Guards against a refusal without an id that counts as a possible run although
// its connection had carried only the node's own call for a report, and against
// a late copy of the report that is taken for the response.
TEST(ReportEvidenceTest, AfterAReportAnyOtherStatusIsTheRequestsOwn) {
  const auto belongs = [](int earlier_requests, int status,
                          std::optional<int> report_status) {
    return BelongsToRequest({.earlier_requests = earlier_requests,
                             .status = status,
                             .report_status = report_status});
  };
  EXPECT_TRUE(belongs(1, 503, 200));
  EXPECT_TRUE(belongs(1, 400, 404));
  EXPECT_FALSE(belongs(1, 200, 200)) << "a copy of the report";
  EXPECT_FALSE(belongs(1, 404, 404)) << "a copy of the report";
  EXPECT_FALSE(belongs(1, 503, std::nullopt)) << "a copy of a refusal";
  EXPECT_FALSE(belongs(2, 503, 200)) << "a copy of a refusal";
}

}  // namespace
}  // namespace pollenledge
