#include "pollenledge/process/collector_choice.h"

#include <gtest/gtest.h>

namespace pollenledge {
namespace {

const TimePoint kStart(std::chrono::seconds(100));

class CollectorChoiceTest : public ::testing::Test {
 protected:
  CollectorChoiceTest() {
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
  CollectorChoice selector_;
};

// Guards against followers that have no current bucket levels for as long as
// the membership protocol takes to detect a failed collector.
TEST_F(CollectorChoiceTest, UnresponsiveCollectorIsSkippedDuringBackoff) {
  EXPECT_EQ(ChosenNames(kStart), "ab");
  {
    SCOPED_TRACE("up to kMaxUnansweredQueries lost responses have no effect");
    for (int i = 0; i < CollectorChoice::kUnanswered; ++i) {
      selector_.OnAsked("a", kStart);
    }
    EXPECT_EQ(ChosenNames(kStart), "ab");
  }
  {
    SCOPED_TRACE("a response resets the count");
    selector_.OnAnswered("a");
    selector_.OnAsked("a", kStart);
    EXPECT_EQ(ChosenNames(kStart), "ab");
  }
  {
    SCOPED_TRACE("after one more the next candidate is chosen instead");
    for (int i = 0; i < CollectorChoice::kUnanswered; ++i) {
      selector_.OnAsked("a", kStart);
    }
    EXPECT_EQ(ChosenNames(kStart), "bc");
  }
  {
    SCOPED_TRACE("after the backoff it is chosen again");
    EXPECT_EQ(ChosenNames(kStart + CollectorChoice::kPassedOver), "ab");
  }
}

}  // namespace
}  // namespace pollenledge
