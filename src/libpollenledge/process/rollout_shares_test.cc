#include "pollenledge/process/rollout_shares.h"

#include <gtest/gtest.h>

#include <cmath>
#include <random>

namespace pollenledge {
namespace {

constexpr double kExposureShare = 0.1;
constexpr double kExposureSlack = 50;
constexpr RolloutLimits kLimits{.exposure_share = kExposureShare,
                                .exposure_slack = kExposureSlack};

TimePoint At(double seconds) { return TimePoint(FromSeconds(1000 + seconds)); }

std::vector<ForwardUpstreamInfo> List(int old_count, int new_count) {
  std::vector<ForwardUpstreamInfo> list;
  for (int i = 0; i < old_count + new_count; ++i) {
    ForwardUpstreamInfo info;
    info.id = {"u" + std::to_string(i), i < old_count ? 1U : 2U};
    info.service = "s";
    info.software_version = i < old_count ? "v1" : "v2";
    list.push_back(info);
  }
  return list;
}

RolloutShare Share(double share, std::uint32_t step = 1, bool ended = false) {
  return {.service = "s",
          .target = "v2",
          .order = 7,
          .step = step,
          .share = share,
          .ended = ended};
}

const RolloutShare kComplete{};

/// Sends a request and returns the version it went to; empty: to none.
std::string Send(RolloutShares* shares, TimePoint now, bool is_retry = false,
                 const std::optional<std::string>& bound = {}) {
  const VersionChoice choice = shares->Choose("s", bound, is_retry, 89, now);
  std::string version;
  if (choice.first.has_value()) {
    version = *choice.first;
  } else {
    for (const char* candidate : {"v1", "v2", "v3"}) {
      const bool excluded =
          std::find(choice.excluded.begin(), choice.excluded.end(),
                    candidate) != choice.excluded.end();
      if (excluded || shares->UsableCount("s", candidate) == 0) continue;
      if (bound.has_value() && *bound != candidate) continue;
      version = candidate;
      break;
    }
  }
  if (!version.empty()) shares->OnSent("s", version, !is_retry, now);
  return version;
}

// Guards against a fleet whose nodes together exceed the exposure bound: 89
// nodes of ten requests per second, of which half of those at the target are
// retried or resumed. The bound is summed over all nodes at each moment.
TEST(RolloutSharesTest, AllNodesTogetherKeepTheExposureBound) {
  std::mt19937_64 random(1);
  std::vector<RolloutShares> nodes(89, RolloutShares(kLimits));
  for (RolloutShares& node : nodes) {
    node.OnListed(List(4, 0));
    node.Merge({kComplete}, At(0));
    node.OnListed(List(4, 4));
  }
  double requests = 0;
  double exposed = 0;
  for (int tick = 0; tick < 100; ++tick) {
    const TimePoint now = At(tick * 0.1);
    for (RolloutShares& node : nodes) {
      // Some nodes hear late of each share.
      if (random() % 4 != 0) node.Merge({Share(kExposureShare)}, now);
      ++requests;
      std::string version = Send(&node, now);
      if (version == "v2") ++exposed;
      if (version == "v2" && random() % 2 == 0) {
        const bool resumes = random() % 2 == 0;
        version =
            Send(&node, now, true,
                 resumes ? std::optional<std::string>("v2") : std::nullopt);
        if (version == "v2") ++exposed;
      }
      ASSERT_LE(exposed, kExposureShare * requests + kExposureSlack);
    }
  }
  EXPECT_GT(exposed, 0.5 * kExposureShare * requests);
}

// Guards against requests to a version that no order and no earlier list
// allows, at a node that has been running and at one that starts meanwhile.
TEST(RolloutSharesTest, AVersionNeedsAnOrderOrAnEarlierList) {
  RolloutShares running(kLimits);
  running.OnListed(List(4, 0));
  running.OnListed(List(2, 4));
  EXPECT_EQ(Send(&running, At(0)), "v1");
  running.OnListed(List(0, 4));
  EXPECT_EQ(Send(&running, At(0)), "");

  RolloutShares started(kLimits);
  started.OnListed(List(2, 4));
  EXPECT_EQ(Send(&started, At(0)), "v1");
  // Versions that served side by side before are used once it is known that
  // no order concerns them.
  started.Merge({kComplete}, At(1));
  EXPECT_TRUE(started.Choose("s", {}, false, 89, At(1)).excluded.empty());

  RolloutShares during(kLimits);
  during.OnListed(List(2, 4));
  during.Merge({Share(0), kComplete}, At(1));
  EXPECT_EQ(Send(&during, At(1)), "v1");
}

// Guards against a service without upstreams after a release without an order
// has replaced all of them.
TEST(RolloutSharesTest, AVersionThatReplacedAllOthersIsUsed) {
  RolloutShares shares(kLimits);
  shares.OnListed(List(3, 0));
  shares.Merge({kComplete}, At(0));
  shares.OnListed(List(1, 2));
  EXPECT_EQ(Send(&shares, At(1)), "v1");
  shares.OnListed(List(0, 3));
  EXPECT_EQ(Send(&shares, At(2)), "v2");
}

// Guards against a node that goes on sending to a bad version because it is cut
// off from the holder of the duties.
TEST(RolloutSharesTest, AShareExpires) {
  RolloutShares node(kLimits);
  node.OnListed(List(4, 4));
  node.Merge({Share(1), kComplete}, At(0));
  EXPECT_EQ(Send(&node, At(2.9)), "v2");
  EXPECT_EQ(Send(&node, At(3.1)), "v1");
  EXPECT_FALSE(node.MayUse("s", "v2", At(3.1)));
  // A confirmation that another node passes on counts with its age.
  RolloutShare relayed = Share(1);
  relayed.age = std::chrono::seconds(2);
  node.Merge({relayed}, At(4));
  EXPECT_EQ(Send(&node, At(4.5)), "v2");
  EXPECT_EQ(Send(&node, At(5.5)), "v1");
  // The other version has stopped, since the roll-out is completed.
  node.OnListed(List(0, 4));
  EXPECT_EQ(Send(&node, At(60)), "v2");
}

// Guards against a step that comes late and raises the share again after a
// revert.
TEST(RolloutSharesTest, ARevertIsFinal) {
  RolloutShares node(kLimits);
  node.OnListed(List(4, 4));
  node.Merge({Share(0, 3, true), kComplete}, At(0));
  node.Merge({Share(1, 2)}, At(0));
  EXPECT_EQ(Send(&node, At(1)), "v1");
  EXPECT_EQ(Send(&node, At(1), true, "v2"), "");
  EXPECT_FALSE(node.MayUse("s", "v2", At(1)));
}

// Pattern: a second order while one runs. Guards against the target of the
// first one, which is unproven, getting requests.
TEST(RolloutSharesTest, ASecondOrderReplacesTheFirst) {
  RolloutShares node(kLimits);
  node.OnListed(List(4, 0));
  node.Merge({kComplete}, At(0));
  node.OnListed(List(4, 4));
  node.Merge({Share(0.08, 2)}, At(0));
  RolloutShare back = Share(1);
  back.target = "v1";
  back.order = 8;
  node.Merge({back}, At(1));
  for (int i = 0; i < 50; ++i) EXPECT_EQ(Send(&node, At(1)), "v1");
}

// Guards against calls and restrictions where no roll-outs are asked for.
TEST(RolloutSharesTest, NothingIsRestrictedWithoutAnExposureShare) {
  RolloutShares node(RolloutLimits{});
  node.OnListed(List(2, 4));
  EXPECT_TRUE(node.Merge({Share(0)}, At(0)).empty());
  EXPECT_EQ(node.Choose("s", {}, false, 1, At(0)), VersionChoice{});
  EXPECT_TRUE(node.Shares(At(0)).empty());
}

// Guards against calling a version slow because the service is: a response is
// compared with those of the other versions at the time.
TEST(RolloutSharesTest, SlowIsRelativeToTheOtherVersions) {
  RolloutShares node(kLimits);
  node.OnListed(List(4, 4));
  node.Merge({Share(0.08), kComplete}, At(0));
  const RolloutEvidence old_row{.route = "r"};
  const RolloutEvidence new_row{.route = "r", .at_target = true};
  node.OnStart("s", new_row, {std::chrono::milliseconds(500)});
  for (int i = 0; i < 20; ++i)
    node.OnStart("s", old_row, {std::chrono::milliseconds(100)});
  node.OnStart("s", new_row, {std::chrono::milliseconds(200)});
  node.OnStart("s", new_row, {std::chrono::milliseconds(300)});
  const std::vector<RolloutShare> reports = node.Reports(At(0));
  ASSERT_EQ(reports.size(), 1U);
  for (const RolloutEvidence& row : reports.front().evidence) {
    EXPECT_EQ(row.starts, row.at_target ? 2U : 12U);
    EXPECT_EQ(row.slow_starts, row.at_target ? 1U : 0U);
  }
}

// Guards against a good version that is reverted because its first requests
// open connections, while those of the other versions use open ones.
TEST(RolloutSharesTest, NewConnectionsAreComparedWithNewConnections) {
  constexpr Duration kOpen = std::chrono::microseconds(400);
  constexpr Duration kNew = std::chrono::milliseconds(4);
  RolloutShares node(kLimits);
  node.OnListed(List(4, 4));
  const RolloutEvidence old_row{.route = "r"};
  const RolloutEvidence new_row{.route = "r", .at_target = true};
  for (int i = 0; i < 20; ++i) node.OnStart("s", old_row, {kNew, true});
  for (int i = 0; i < 200; ++i) node.OnStart("s", old_row, {kOpen});
  node.Merge({Share(0.08), kComplete}, At(0));
  for (int i = 0; i < 20; ++i) node.OnStart("s", new_row, {kNew, true});
  EXPECT_EQ(node.Reports(At(0)).front().evidence.front().slow_starts, 0U);
  {
    SCOPED_TRACE("a version that is slow on either kind is found out");
    node.OnStart("s", new_row, {kNew});
    node.OnStart("s", new_row, {3 * kNew, true});
    const RolloutEvidence row = node.Reports(At(0)).front().evidence.front();
    EXPECT_EQ(row.starts, 22U);
    EXPECT_EQ(row.slow_starts, 2U);
  }
}

}  // namespace
}  // namespace pollenledge
