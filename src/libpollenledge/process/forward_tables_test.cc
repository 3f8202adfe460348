#include <gtest/gtest.h>

#include "one_route_tables.h"
#include "pollenledge/process/forward_node.h"

namespace pollenledge {
namespace {

constexpr Duration kTablesBound = std::chrono::seconds(2);
constexpr Duration kMillisecond = std::chrono::milliseconds(1);

/// A node whose tables have one route, "/read/", and one key, "key".
class NodeWithTables : public ::testing::Test {
 protected:
  NodeWithTables() : node_(Options()) { ReadTables(1); }

  static ForwardNodeOptions Options() {
    ForwardNodeOptions options;
    options.self.id = {"n", 1};
    options.tables_bound = kTablesBound;
    return options;
  }

  void ReadTables(std::uint64_t version) {
    Submit(forward_event::TablesRead{
        std::make_shared<const ForwardingIndex>(
            testing::MakeOneRouteTables(version, "s")),
        now_});
  }

  /// A peer states that its tables have this version.
  void HearOf(std::uint64_t version) {
    Heartbeat heartbeat;
    heartbeat.records.resize(1);
    heartbeat.records.front().id = {"peer", 1};
    heartbeat.records.front().tables_version = version;
    Submit(forward_event::HeartbeatReceived{heartbeat});
  }

  void Submit(const ForwardEvent& event) {
    actions_ = node_.Handle(event, {now_, WallTime()});
  }

  void AdvanceTime(Duration time) {
    now_ += time;
    Submit(forward_event::Ticked{});
  }

  template <typename Action>
  const Action* FindAction() const {
    for (const ForwardAction& candidate : actions_) {
      if (const auto* found = std::get_if<Action>(&candidate)) return found;
    }
    return nullptr;
  }

  /// Returns how a request is refused.
  NotRun Refuse(const std::string& path, const std::string& key,
                std::uint64_t min_tables_version = 0) {
    ForwardSpec spec;
    spec.host = "h";
    spec.path = path;
    spec.api_key = key;
    spec.min_tables_version = min_tables_version;
    Submit(forward_event::RequestArrived{++last_id_, spec});
    const auto* reject = FindAction<forward_action::Reject>();
    return reject == nullptr ? NotRun{} : reject->not_run;
  }

  void ExpectDenied() {
    EXPECT_EQ(Refuse("/added/x", "key").http_status, 404);
    EXPECT_EQ(Refuse("/read/x", "other").http_status, 401);
  }

  void ExpectToldToReturn() {
    for (const NotRun& refused :
         {Refuse("/added/x", "key"), Refuse("/read/x", "other")}) {
      EXPECT_EQ(refused.http_status, 503);
      EXPECT_EQ(refused.problem_type, "unconfirmed-tables");
      EXPECT_GT(refused.retry_after, Duration(0));
    }
  }

  TimePoint now_{std::chrono::seconds(1000)};
  ForwardNode node_;
  std::vector<ForwardAction> actions_;
  ForwardId last_id_ = 0;
};

// Guards against a node that can't read the store, or not in time, and refuses
// a route or a key that was added since as unknown (incident CONFIG).
TEST_F(NodeWithTables, RefusesAsUnknownOnlyByTablesThatAreConfirmed) {
  ExpectDenied();
  AdvanceTime(kTablesBound - kMillisecond);
  ExpectDenied();
  {
    SCOPED_TRACE("a change may be due that this node can't read");
    AdvanceTime(kMillisecond);
    EXPECT_EQ(Refuse("/added/x", "key").problem_type, "") << "it reads first";
    Submit(forward_event::TablesReadFailed{now_});
    const auto* refused = FindAction<forward_action::Reject>();
    ASSERT_NE(refused, nullptr);
    EXPECT_EQ(refused->not_run.problem_type, "unconfirmed-tables");
    ExpectToldToReturn();
  }
  {
    SCOPED_TRACE("a read confirms the tables");
    ReadTables(1);
    ExpectDenied();
  }
  {
    SCOPED_TRACE("a peer has later ones");
    HearOf(2);
    ExpectToldToReturn();
    ReadTables(2);
    ExpectDenied();
  }
}

// Guards against a node whose watch has ended silently and that waits for its
// next periodic read though its peers have later tables (incident CONFIG).
TEST_F(NodeWithTables, ReadsTheStoreIfAPeerHasLaterTables) {
  HearOf(2);
  const auto reads_after = [this](Duration time) {
    AdvanceTime(time);
    return FindAction<forward_action::ReadTables>() != nullptr;
  };
  EXPECT_FALSE(reads_after(200 * kMillisecond));
  EXPECT_TRUE(reads_after(100 * kMillisecond));
  EXPECT_FALSE(reads_after(100 * kMillisecond));
  EXPECT_TRUE(reads_after(400 * kMillisecond));
  ReadTables(2);
  EXPECT_FALSE(reads_after(kTablesBound));
}

// Guards against a relayed request that is decided by older tables than those
// of the node that it arrived at (incident CONFIG).
TEST_F(NodeWithTables, RefusesRelayedRequestsThatNeedLaterTables) {
  const NotRun refused = Refuse("/read/x", "key", 2);
  EXPECT_EQ(refused.http_status, 421);
  EXPECT_EQ(refused.problem_type, "outdated-tables");
  {
    SCOPED_TRACE("the request has shown that there are later ones");
    AdvanceTime(300 * kMillisecond);
    EXPECT_NE(FindAction<forward_action::ReadTables>(), nullptr);
  }
  ReadTables(2);
  EXPECT_NE(Refuse("/read/x", "key", 2).http_status, 421);
}

}  // namespace
}  // namespace pollenledge
