#include "pollenledge/request/event_splitter.h"

#include <gtest/gtest.h>

namespace pollenledge {
namespace {

TEST(EventSplitterTest, PassesOnWholeEventsOnly) {
  EventSplitter events(std::nullopt);
  EXPECT_EQ(events.Append("id: 1\ndata: a\n").count, 0);
  const EventBatch batch = events.Append("\nid: 2\nda");
  EXPECT_EQ(batch.bytes, "id: 1\ndata: a\n\n");
  EXPECT_EQ(events.last_id(), 1);
  EXPECT_TRUE(events.has_partial());
}

TEST(EventSplitterTest, AnyPortionsGiveTheSameEvents) {
  const std::string stream =
      "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata: c\n\n";
  for (std::size_t portion = 1; portion <= stream.size(); ++portion) {
    EventSplitter events(std::nullopt);
    std::string passed;
    for (std::size_t at = 0; at < stream.size(); at += portion) {
      passed += events.Append(stream.substr(at, portion)).bytes;
    }
    EXPECT_EQ(passed, stream);
    EXPECT_EQ(events.passed_on(), 3);
  }
}

TEST(EventSplitterTest, AResumedStreamGoesOnWithoutDoublesOrGaps) {
  EventSplitter events(std::nullopt);
  events.Append("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda");
  // The stream breaks; another upstream begins one event early.
  events.DropPartial();
  const EventBatch batch =
      events.Append("id: 2\ndata: b\n\nid: 3\ndata: c\n\n");
  EXPECT_EQ(batch.bytes, "id: 3\ndata: c\n\n");
  EXPECT_FALSE(events.gap());
  // An event that is left out is not passed over.
  EXPECT_EQ(events.Append("id: 5\ndata: e\n\n").count, 0);
  EXPECT_TRUE(events.gap());
}

TEST(EventSplitterTest, WhatTheCallerHasIsNotSentAgain) {
  EventSplitter events(12);
  EXPECT_EQ(events.Append("id: 12\ndata: x\n\nid: 13\ndata: y\n\n").bytes,
            "id: 13\ndata: y\n\n");
}

}  // namespace
}  // namespace pollenledge
