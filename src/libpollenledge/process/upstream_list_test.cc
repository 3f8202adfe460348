#include "pollenledge/process/upstream_list.h"

#include <gtest/gtest.h>

#include <map>
#include <random>

namespace pollenledge {
namespace {

const TimePoint kNow(std::chrono::seconds(100));

ForwardUpstreamInfo Info(const std::string& name, std::int64_t revision) {
  ForwardUpstreamInfo info;
  info.id = {name, 1};
  info.revision = revision;
  return info;
}

/// What the store holds, by name.
using Store = std::map<std::string, ForwardUpstreamInfo>;

std::vector<ForwardUpstreamInfo> ListOf(const Store& store) {
  std::vector<ForwardUpstreamInfo> list;
  for (const auto& [name, info] : store) list.push_back(info);
  return list;
}

class UpstreamListSeeds : public ::testing::TestWithParam<int> {};

// Guards against a follower that keeps an upstream that left, or misses a new
// one: whatever it was told when, it ends with the store's own list.
TEST_P(UpstreamListSeeds, AFollowerComesToTheListThatAReaderHas) {
  std::mt19937_64 random(static_cast<std::uint64_t>(GetParam()));
  Store store;
  UpstreamList reader;
  UpstreamList follower;
  std::int64_t revision = 0;
  TimePoint now = kNow;
  for (int step = 0; step < 3000; ++step) {
    now += std::chrono::milliseconds(10);
    const std::string name = "u" + std::to_string(random() % 200);
    ++revision;
    if (random() % 3 == 0) {
      store.erase(name);
    } else {
      store[name] = Info(name, revision);
    }
    if (random() % 4 == 0) reader.Replace(ListOf(store), revision, now);
    if (random() % 40 != 0) continue;
    // Some answers are lost, and some come late and twice.
    const auto told = reader.ChangesSince(follower.revision(), now);
    if (!told.has_value() || random() % 3 == 0) continue;
    follower.Apply(*told, now);
    if (random() % 3 == 0) follower.Apply(*told, now);
  }
  reader.Replace(ListOf(store), revision, now);
  for (int i = 0; i < 10; ++i) {
    const auto told = reader.ChangesSince(follower.revision(), now);
    if (told.has_value()) follower.Apply(*told, now);
  }
  EXPECT_EQ(follower.upstreams(), ListOf(store));
  EXPECT_EQ(follower.proven_at(), now);
}

INSTANTIATE_TEST_SUITE_P(Seeds, UpstreamListSeeds, ::testing::Range(1, 9));

TEST(UpstreamListTest, AnAnswerProvesTheListFromWhenItWasAskedFor) {
  UpstreamList reader;
  reader.Replace({Info("a", 3)}, 5, kNow);
  const TimePoint later = kNow + std::chrono::seconds(2);
  UpstreamList follower;
  {
    SCOPED_TRACE("the reader's own age counts from the question");
    follower.Apply(*reader.ChangesSince(0, later), later);
    EXPECT_EQ(follower.proven_at(), kNow);
    EXPECT_EQ(follower.revision(), 5);
  }
  {
    SCOPED_TRACE("a list that differs proves nothing");
    UpstreamList other;
    other.Replace({Info("a", 3), Info("b", 4)}, 5, std::nullopt);
    reader.Replace({Info("a", 3)}, 6, later);
    other.Apply(*reader.ChangesSince(5, later), later);
    EXPECT_EQ(other.proven_at(), std::nullopt);
  }
}

TEST(UpstreamListTest, ALongListIsToldInParts) {
  constexpr int kUpstreams = 171;
  Store store;
  for (int i = 1; i <= kUpstreams; ++i) {
    const std::string name = "u" + std::to_string(i);
    store[name] = Info(name, i);
  }
  UpstreamList reader;
  reader.Replace(ListOf(store), kUpstreams, kNow);
  UpstreamList follower;
  int messages = 0;
  while (!follower.proven_at().has_value()) {
    const auto told = reader.ChangesSince(follower.revision(), kNow);
    ASSERT_TRUE(told.has_value());
    EXPECT_LE(told->changed.size(), UpstreamList::kMostChanges);
    follower.Apply(*told, kNow);
    ++messages;
  }
  EXPECT_EQ(messages, 4);
  EXPECT_EQ(follower.upstreams(), ListOf(store));
}

TEST(UpstreamListTest, WhatIsOlderChangesNothing) {
  UpstreamList list;
  list.Replace({Info("a", 3)}, 5, kNow);
  list.Replace({}, 4, kNow);
  EXPECT_EQ(list.upstreams().size(), 1U);
  EXPECT_FALSE(list.Apply({.to = 4, .removed = {{"a", 4}}}, kNow));
  EXPECT_EQ(list.upstreams().size(), 1U);
}

}  // namespace
}  // namespace pollenledge
