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
  info.store_revision = revision;
  return info;
}

/// Content of the store, by name.
using Store = std::map<std::string, ForwardUpstreamInfo>;

std::vector<ForwardUpstreamInfo> ListOf(const Store& store) {
  std::vector<ForwardUpstreamInfo> list;
  for (const auto& [name, info] : store) list.push_back(info);
  return list;
}

class UpstreamListSeeds : public ::testing::TestWithParam<int> {};

// Guards against a follower that keeps a removed upstream or misses a new one.
// Lost, late and repeated responses must still lead to the list of the store.
TEST_P(UpstreamListSeeds, FollowerConvergesToReadersList) {
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
    // Some responses are lost, and some are applied late or twice.
    const auto changes = reader.ChangesSince(follower.revision(), now);
    if (!changes.has_value() || random() % 3 == 0) continue;
    follower.Apply(*changes, now);
    if (random() % 3 == 0) follower.Apply(*changes, now);
  }
  reader.Replace(ListOf(store), revision, now);
  for (int i = 0; i < 10; ++i) {
    const auto changes = reader.ChangesSince(follower.revision(), now);
    if (changes.has_value()) follower.Apply(*changes, now);
  }
  EXPECT_EQ(follower.upstreams(), ListOf(store));
  EXPECT_EQ(follower.confirmed_at(), now);
}

INSTANTIATE_TEST_SUITE_P(Seeds, UpstreamListSeeds, ::testing::Range(1, 9));

TEST(UpstreamListTest, ResponseConfirmsListAsOfQueryTime) {
  UpstreamList reader;
  reader.Replace({Info("a", 3)}, 5, kNow);
  const TimePoint later = kNow + std::chrono::seconds(2);
  UpstreamList follower;
  {
    SCOPED_TRACE("the age given by the reader counts from the query");
    follower.Apply(*reader.ChangesSince(0, later), later);
    EXPECT_EQ(follower.confirmed_at(), kNow);
    EXPECT_EQ(follower.revision(), 5);
  }
  {
    SCOPED_TRACE("a list with another digest is not confirmed");
    UpstreamList other;
    other.Replace({Info("a", 3), Info("b", 4)}, 5, std::nullopt);
    reader.Replace({Info("a", 3)}, 6, later);
    other.Apply(*reader.ChangesSince(5, later), later);
    EXPECT_EQ(other.confirmed_at(), std::nullopt);
  }
}

TEST(UpstreamListTest, LongListIsSentInSeveralMessages) {
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
  while (!follower.confirmed_at().has_value()) {
    const auto changes = reader.ChangesSince(follower.revision(), kNow);
    ASSERT_TRUE(changes.has_value());
    EXPECT_LE(changes->changed.size(), UpstreamList::kMaxChangesPerMessage);
    follower.Apply(*changes, kNow);
    ++messages;
  }
  EXPECT_EQ(messages, 4);
  EXPECT_EQ(follower.upstreams(), ListOf(store));
}

TEST(UpstreamListTest, OlderRevisionIsIgnored) {
  UpstreamList list;
  list.Replace({Info("a", 3)}, 5, kNow);
  list.Replace({}, 4, kNow);
  EXPECT_EQ(list.upstreams().size(), 1U);
  EXPECT_FALSE(list.Apply({.to_revision = 4, .removed = {{"a", 4}}}, kNow));
  EXPECT_EQ(list.upstreams().size(), 1U);
}

}  // namespace
}  // namespace pollenledge
