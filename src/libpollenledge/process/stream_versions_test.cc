#include "pollenledge/process/stream_versions.h"

#include <gtest/gtest.h>

#include "pollenledge/process/stream_outbox.h"

namespace pollenledge {
namespace {

constexpr Duration kSecond = std::chrono::seconds(1);
const StreamBinding kOld{"s", "v1"};
const StreamBinding kNew{"s", "v2"};

ForwardUpstreamInfo Upstream(const std::string& name,
                             const StreamBinding& version) {
  ForwardUpstreamInfo info;
  info.id.name = name;
  info.service = version.service;
  info.software_version = version.software_version;
  return info;
}

Fingerprint Stream(const std::string& attempt) {
  return StreamVersions::KeyOf(attempt);
}

class StreamVersionsTest : public ::testing::Test {
 protected:
  void List(const std::vector<StreamBinding>& versions) {
    std::vector<ForwardUpstreamInfo> list;
    list.reserve(versions.size());
    for (const StreamBinding& version : versions) {
      list.push_back(Upstream("u" + std::to_string(list.size()), version));
    }
    became_mixed_ = versions_.OnListed(list, now_);
  }

  TimePoint now_{std::chrono::seconds(1000)};
  StreamVersions versions_;
  std::set<std::string> became_mixed_;
};

// Guards against costs while there is nothing to tell apart: with one version
// nothing is told.
TEST_F(StreamVersionsTest, WithOneVersionNothingIsTold) {
  versions_.OnRecordsRead({kOld}, now_);
  List({kOld, kOld});
  versions_.Bind({Stream("a"), kOld}, now_);
  EXPECT_EQ(versions_.OnlyVersion("s", now_), "v1");
  EXPECT_FALSE(versions_.HasUntold(now_));
  EXPECT_TRUE(versions_.TakeUntold(now_).empty());
}

// Guards against streams that began before a release and cannot be resumed at
// other nodes.
TEST_F(StreamVersionsTest, ASecondVersionMakesTheServiceMixed) {
  versions_.OnRecordsRead({kOld}, now_);
  List({kOld});
  versions_.Bind({Stream("running"), kOld}, now_);
  versions_.Bind({Stream("complete"), kOld}, now_);
  versions_.OnCompleted(Stream("complete"));
  List({kOld, kNew});
  {
    SCOPED_TRACE("The node notices it once.");
    EXPECT_EQ(became_mixed_, std::set<std::string>{"s"});
    EXPECT_EQ(versions_.OnlyVersion("s", now_), std::nullopt);
    List({kOld, kNew});
    EXPECT_TRUE(became_mixed_.empty());
  }
  {
    SCOPED_TRACE("Streams that began earlier are told, unless complete.");
    EXPECT_EQ(versions_.TakeUntold(now_),
              (std::vector<StreamRecord>{{Stream("running"), kOld}}));
    EXPECT_TRUE(versions_.TakeUntold(now_).empty());
  }
  {
    SCOPED_TRACE("A store that lost its records is told again.");
    versions_.OnRecordsLost();
    EXPECT_EQ(versions_.TakeUntold(now_).size(), 1U);
  }
}

// Guards against a stream that goes on at the new version because the upstreams
// of the old one have left since.
TEST_F(StreamVersionsTest, AVersionStaysInPlayAfterItsUpstreamsHaveLeft) {
  versions_.OnRecordsRead({kOld, kNew}, now_);
  List({kOld, kNew});
  List({kNew});
  now_ += StreamVersions::kMaxStreamLifetime;
  EXPECT_TRUE(versions_.IsMixed("s", now_));
  now_ += kSecond;
  List({kNew});
  EXPECT_EQ(versions_.OnlyVersion("s", now_), "v2");
}

// Guards against a node that starts after the old version's upstreams have left
// and takes the list for all there was.
TEST_F(StreamVersionsTest, ARecordShowsAVersionThatLeftWhileNobodyWatched) {
  List({kNew});
  EXPECT_TRUE(versions_.IsMixed("s", now_)) << "The records are not known yet";
  versions_.OnRecordsRead({kOld}, now_);
  EXPECT_TRUE(versions_.IsMixed("s", now_));
  EXPECT_EQ(versions_.Unrecorded({"s"}), std::vector<StreamBinding>{kNew});
  EXPECT_TRUE(versions_.Unrecorded({"other"}).empty());
  EXPECT_FALSE(versions_.IsRecorded(kNew));
}

TEST_F(StreamVersionsTest, ARecordExpiresLongAfterItsLastUpstream) {
  versions_.OnRecordsRead({kOld, kNew}, now_);
  List({kNew});
  now_ += StreamVersions::kVersionRecordLifetime;
  EXPECT_TRUE(versions_.Expired(now_).empty());
  now_ += kSecond;
  EXPECT_EQ(versions_.Expired(now_), std::vector<StreamBinding>{kOld});
}

// Guards against streams that go on at another service after a route was moved.
TEST_F(StreamVersionsTest, AMovedRouteMakesItsServicesMixedForAWhile) {
  versions_.OnRecordsRead({kOld}, now_);
  List({kOld});
  versions_.OnRouteMoved({"s"}, now_);
  EXPECT_TRUE(versions_.IsMixed("s", now_));
  EXPECT_EQ(
      versions_.OnlyVersion("s", now_ + StreamVersions::kMaxStreamLifetime),
      "v1");
}

// Guards against a node with an old list: a peer's stream tells it of a
// version.
TEST_F(StreamVersionsTest, AStreamOfAPeerShowsAVersionThatIsNotListedYet) {
  versions_.OnRecordsRead({kOld}, now_);
  List({kOld});
  versions_.Learn({Stream("a"), kNew}, now_);
  EXPECT_TRUE(versions_.IsMixed("s", now_));
  EXPECT_EQ(versions_.Find(Stream("a")), kNew);
  EXPECT_TRUE(versions_.TakeUntold(now_).empty()) << "It is not told again";
  versions_.Learn({Stream("a"), kOld}, now_);
  EXPECT_EQ(versions_.Find(Stream("a")), kOld) << "The later word counts";
}

TEST_F(StreamVersionsTest, BindingsAreBoundedInAgeAndNumber) {
  versions_.OnRecordsRead({kOld}, now_);
  versions_.Bind({Stream("old"), kOld}, now_);
  versions_.Bind({Stream("confirmed"), kOld}, now_);
  now_ += StreamVersions::kMaxStreamLifetime;
  versions_.Bind({Stream("confirmed"), kOld}, now_);
  now_ += kSecond;
  versions_.TakeUntold(now_);
  EXPECT_EQ(versions_.Find(Stream("old")), std::nullopt);
  EXPECT_EQ(versions_.Find(Stream("confirmed")), kOld);
  for (std::size_t i = 0; i < 2 * StreamVersions::kMaxBindings; ++i) {
    versions_.Bind({Stream(std::to_string(i)), kOld}, now_);
  }
  EXPECT_LE(versions_.binding_count(), StreamVersions::kMaxBindings);
}

TEST(StreamOutboxTest, RepeatsWhatNoCollectorAcknowledged) {
  StreamOutbox outbox;
  const TimePoint first(kSecond);
  const TimePoint second(2 * kSecond);
  outbox.Add({{Stream("a"), kOld}, {Stream("b"), kNew}});
  EXPECT_EQ(outbox.RecordsForQuery("c1", first).size(), 2U);
  {
    SCOPED_TRACE("A response of another collector acknowledges nothing.");
    outbox.OnResponse("c2", first);
    EXPECT_EQ(outbox.RecordsForQuery("c1", second).size(), 2U);
  }
  {
    SCOPED_TRACE("Nor does one to an earlier query.");
    outbox.OnResponse("c1", first);
    EXPECT_EQ(outbox.RecordsForQuery("c1", second).size(), 2U);
  }
  {
    SCOPED_TRACE("What was added after the query stays.");
    outbox.Add({{Stream("c"), kOld}});
    outbox.OnResponse("c1", second);
    EXPECT_EQ(outbox.RecordsForQuery("c1", second),
              (std::vector<StreamRecord>{{Stream("c"), kOld}}));
  }
  for (std::size_t i = 0; i < 2 * StreamOutbox::kMaxWaiting; ++i) {
    outbox.Add({{Stream(std::to_string(i)), kOld}});
  }
  EXPECT_EQ(outbox.RecordsForQuery("c1", second).size(),
            StreamOutbox::kMaxRecordsPerQuery);
}

}  // namespace
}  // namespace pollenledge
