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

  std::string Chosen(TimePoint now) {
    std::vector<const MemberRecord*> ranked;
    for (const MemberRecord& record : records_) ranked.push_back(&record);
    std::string names;
    for (const MemberRecord* record : choice_.Choose(ranked, "self", now)) {
      names += record->id.name;
    }
    return names;
  }

  std::vector<MemberRecord> records_;
  CollectorChoice choice_;
};

// Guards against a large fleet that is without its limits' levels for as long
// as the news of a collector's end takes.
TEST_F(CollectorChoiceTest, OneThatDoesNotAnswerIsPassedOver) {
  EXPECT_EQ(Chosen(kStart), "ab");
  {
    SCOPED_TRACE("a lost answer or two change nothing");
    for (int i = 0; i < CollectorChoice::kUnanswered; ++i) {
      choice_.OnAsked("a", kStart);
    }
    EXPECT_EQ(Chosen(kStart), "ab");
  }
  {
    SCOPED_TRACE("an answer clears them");
    choice_.OnAnswered("a");
    choice_.OnAsked("a", kStart);
    EXPECT_EQ(Chosen(kStart), "ab");
  }
  {
    SCOPED_TRACE("after too many the next one takes its place");
    for (int i = 0; i < CollectorChoice::kUnanswered; ++i) {
      choice_.OnAsked("a", kStart);
    }
    EXPECT_EQ(Chosen(kStart), "bc");
  }
  {
    SCOPED_TRACE("later it is asked again");
    EXPECT_EQ(Chosen(kStart + CollectorChoice::kPassedOver), "ab");
  }
}

}  // namespace
}  // namespace pollenledge
