#include "pollenledge/process/upstream_balancer.h"

#include <gtest/gtest.h>

#include <set>

namespace pollenledge {
namespace {

// Lengths in tokens.
constexpr std::int64_t kLongPrompt = 12000;
constexpr std::int64_t kShortPrompt = 800;
constexpr std::int64_t kSharedTokens = 5000;

class UpstreamBalancerTest : public ::testing::Test {
 protected:
  void SetUpstreams(int count, int slots) {
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

  static UpstreamCriteria CriteriaFor(std::uint64_t affinity,
                                      std::int64_t shared) {
    UpstreamCriteria criteria;
    criteria.service = "s";
    criteria.own_domain = "a";
    criteria.affinity = affinity;
    criteria.shared_prompt_tokens = shared;
    return criteria;
  }

  ForwardUpstream* Choose(const UpstreamCriteria& criteria,
                          Duration later = {}) {
    return upstreams_.Choose(criteria, now_ + later);
  }

  TimePoint now_ = TimePoint(std::chrono::seconds(100));
  UpstreamBalancer upstreams_{1};
};

TEST_F(UpstreamBalancerTest,
       SharedPromptRequestsUseOneUpstreamUntilItIsLoaded) {
  SetUpstreams(6, 32);
  const UpstreamCriteria criteria = CriteriaFor(42, kSharedTokens);
  ForwardUpstream* preferred = Choose(criteria);
  upstreams_.OnSent(preferred, 0, now_);
  EXPECT_EQ(Choose(criteria), preferred);
  for (int i = 0; i < 10; ++i) upstreams_.OnSent(preferred, 0, now_);
  EXPECT_NE(Choose(criteria), preferred);
}

TEST_F(UpstreamBalancerTest, BurstOfLongPromptsSpreadsOverUpstreams) {
  SetUpstreams(6, 32);
  const UpstreamCriteria criteria = CriteriaFor(42, kSharedTokens);
  std::set<std::string> chosen;
  for (int i = 0; i < 4; ++i) {
    ForwardUpstream* upstream = Choose(criteria);
    chosen.insert(upstream->info.id.name);
    upstreams_.OnSent(upstream, kLongPrompt, now_);
  }
  EXPECT_EQ(chosen.size(), 4U);
}

TEST_F(UpstreamBalancerTest, ShortPromptAvoidsUpstreamProcessingLongPrompt) {
  SetUpstreams(6, 32);
  const UpstreamCriteria criteria = CriteriaFor(42, 200);
  ForwardUpstream* preferred = Choose(criteria);
  {
    SCOPED_TRACE(
        "the preferred upstream processes a long prompt: another is chosen");
    upstreams_.OnSent(preferred, kLongPrompt, now_);
    EXPECT_NE(Choose(criteria), preferred);
  }
  {
    SCOPED_TRACE(
        "the long prompt is processed: the preferred upstream is chosen");
    upstreams_.OnPromptProcessed(preferred, kLongPrompt);
    EXPECT_EQ(Choose(criteria), preferred);
  }
}

TEST_F(UpstreamBalancerTest,
       LongSharedPrefixStaysAtPreferredUpstreamBehindShortPrompt) {
  SetUpstreams(6, 32);
  const UpstreamCriteria criteria = CriteriaFor(42, kSharedTokens);
  ForwardUpstream* preferred = Choose(criteria);
  upstreams_.OnSent(preferred, kShortPrompt, now_);
  EXPECT_EQ(Choose(criteria), preferred);
}

TEST_F(UpstreamBalancerTest,
       UpstreamWithFailuresIsSkippedUntilErrorRateDecays) {
  SetUpstreams(3, 6);
  ForwardUpstream* failing = upstreams_.Find("e1");
  for (int i = 0; i < 5; ++i) {
    upstreams_.OnSent(failing, 0, now_);
    upstreams_.OnAttemptEnded(failing, ForwardOutcome::kFailed, now_);
  }
  UpstreamCriteria criteria;
  criteria.service = "s";
  criteria.own_domain = "a";
  for (int i = 0; i < 50; ++i) EXPECT_NE(Choose(criteria), failing);
  // The upstream is tried again once its failures are old.
  bool tried = false;
  for (int i = 0; i < 50; ++i) {
    tried = tried || Choose(criteria, std::chrono::seconds(9)) == failing;
  }
  EXPECT_TRUE(tried);
}

}  // namespace
}  // namespace pollenledge
