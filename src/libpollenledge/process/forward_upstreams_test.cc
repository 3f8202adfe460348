#include "pollenledge/process/forward_upstreams.h"

#include <gtest/gtest.h>

#include <set>

namespace pollenledge {
namespace {

constexpr std::int64_t kLongPrompt = 12000;
constexpr std::int64_t kShortPrompt = 800;
constexpr std::int64_t kShared = 5000;

class ForwardUpstreamsTest : public ::testing::Test {
 protected:
  void List(int count, int slots) {
    std::vector<ForwardUpstreamInfo> list;
    for (int i = 0; i < count; ++i) {
      ForwardUpstreamInfo info;
      info.id.name = "e" + std::to_string(i);
      info.service = "s";
      info.slots = slots;
      list.push_back(info);
    }
    upstreams_.SetList(list);
  }

  static UpstreamQuery PromptOf(std::uint64_t affinity, std::int64_t shared) {
    UpstreamQuery query;
    query.service = "s";
    query.own_domain = "a";
    query.affinity = affinity;
    query.shared_tokens = shared;
    return query;
  }

  ForwardUpstream* Choose(const UpstreamQuery& query, Duration later = {}) {
    return upstreams_.Choose(query, now_ + later);
  }

  TimePoint now_ = TimePoint(std::chrono::seconds(100));
  ForwardUpstreams upstreams_{1};
};

TEST_F(ForwardUpstreamsTest,
       RequestsOfOnePromptShareAnUpstreamUntilItIsLoaded) {
  List(6, 32);
  const UpstreamQuery query = PromptOf(42, kShared);
  ForwardUpstream* first = Choose(query);
  upstreams_.OnSent(first, 0, now_);
  EXPECT_EQ(Choose(query), first);
  for (int i = 0; i < 10; ++i) upstreams_.OnSent(first, 0, now_);
  EXPECT_NE(Choose(query), first);
}

TEST_F(ForwardUpstreamsTest, AFlurryOfLongPromptsSpreads) {
  List(6, 32);
  const UpstreamQuery query = PromptOf(42, kShared);
  std::set<std::string> chosen;
  for (int i = 0; i < 4; ++i) {
    ForwardUpstream* upstream = Choose(query);
    chosen.insert(upstream->info.id.name);
    upstreams_.OnSent(upstream, kLongPrompt, now_);
  }
  EXPECT_EQ(chosen.size(), 4U);
}

TEST_F(ForwardUpstreamsTest, AShortPromptDoesNotQueueBehindALongOne) {
  List(6, 32);
  const UpstreamQuery query = PromptOf(42, 200);
  ForwardUpstream* preferred = Choose(query);
  {
    SCOPED_TRACE("its upstream reads a long prompt: another one is taken");
    upstreams_.OnSent(preferred, kLongPrompt, now_);
    EXPECT_NE(Choose(query), preferred);
  }
  {
    SCOPED_TRACE("the long prompt's first event came: it goes back");
    upstreams_.OnPromptRead(preferred, kLongPrompt);
    EXPECT_EQ(Choose(query), preferred);
  }
}

TEST_F(ForwardUpstreamsTest, ALongSharedPartIsWorthWaitingBehindAShortPrompt) {
  List(6, 32);
  const UpstreamQuery query = PromptOf(42, kShared);
  ForwardUpstream* preferred = Choose(query);
  upstreams_.OnSent(preferred, kShortPrompt, now_);
  EXPECT_EQ(Choose(query), preferred);
}

TEST_F(ForwardUpstreamsTest, AnUpstreamThatFailsItsWorkIsPassedOverForAWhile) {
  List(3, 6);
  ForwardUpstream* bad = upstreams_.Find("e1");
  for (int i = 0; i < 5; ++i) {
    upstreams_.OnSent(bad, 0, now_);
    upstreams_.OnEnded(bad, ForwardEnd::kFailed, now_);
  }
  UpstreamQuery query;
  query.service = "s";
  query.own_domain = "a";
  for (int i = 0; i < 50; ++i) EXPECT_NE(Choose(query), bad);
  // Tried again when its failures are old.
  bool tried = false;
  for (int i = 0; i < 50; ++i) {
    tried = tried || Choose(query, std::chrono::seconds(9)) == bad;
  }
  EXPECT_TRUE(tried);
}

}  // namespace
}  // namespace pollenledge
