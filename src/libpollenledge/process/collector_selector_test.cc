#include "pollenledge/process/collector_selector.h"

#include <gtest/gtest.h>

namespace pollenledge {
namespace {

const TimePoint kStart(std::chrono::seconds(100));

class CollectorSelectorTest : public ::testing::Test {
 protected:
  CollectorSelectorTest() {
    for (const char* name : {"a", "b", "c"}) {
      records_.emplace_back();
      records_.back().id.name = name;
    }
  }

  std::string ChosenNames(TimePoint now) {
    std::vector<const MemberRecord*> ranked;
    for (const MemberRecord& record : records_) ranked.push_back(&record);
    std::string names;
    for (const MemberRecord* record : selector_.Choose(ranked, "self", now)) {
      names += record->id.name;
    }
    return names;
  }

  std::vector<MemberRecord> records_;
  CollectorSelector selector_;
};

// Guards against followers that have no current bucket levels for as long as
// the membership protocol takes to detect a failed collector.
TEST_F(CollectorSelectorTest, UnresponsiveCollectorIsSkippedDuringBackoff) {
  EXPECT_EQ(ChosenNames(kStart), "ab");
  {
    SCOPED_TRACE("up to kMaxUnansweredQueries lost responses have no effect");
    for (int i = 0; i < CollectorSelector::kMaxUnansweredQueries; ++i) {
      selector_.OnQuerySent("a", kStart);
    }
    EXPECT_EQ(ChosenNames(kStart), "ab");
  }
  {
    SCOPED_TRACE("a response resets the count");
    selector_.OnResponse("a", false, kStart);
    selector_.OnQuerySent("a", kStart);
    EXPECT_EQ(ChosenNames(kStart), "ab");
  }
  {
    SCOPED_TRACE("after one more the next candidate is chosen instead");
    for (int i = 0; i < CollectorSelector::kMaxUnansweredQueries; ++i) {
      selector_.OnQuerySent("a", kStart);
    }
    EXPECT_EQ(ChosenNames(kStart), "bc");
  }
  {
    SCOPED_TRACE("after the backoff it is chosen again");
    EXPECT_EQ(ChosenNames(kStart + CollectorSelector::kBackoffTime), "ab");
  }
}

// Guards against nodes without levels while two new collectors warm up: those
// that collected until then know them.
TEST_F(CollectorSelectorTest, AReadyCollectorIsKeptUntilTheFirstOnesAre) {
  const auto respond = [&](const std::string& name, bool is_ready) {
    selector_.OnQuerySent(name, kStart);
    selector_.OnResponse(name, is_ready, kStart);
  };
  respond("c", true);
  EXPECT_EQ(ChosenNames(kStart), "abc");
  respond("a", false);
  EXPECT_EQ(ChosenNames(kStart), "abc");
  respond("b", true);
  EXPECT_EQ(ChosenNames(kStart), "ab");
  {
    SCOPED_TRACE("one that has not published levels lately is not ready");
    EXPECT_EQ(ChosenNames(kStart + CollectorSelector::kReadyTime), "ab");
  }
}

}  // namespace
}  // namespace pollenledge
