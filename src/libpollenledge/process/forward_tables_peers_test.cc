#include <gtest/gtest.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "one_route_tables.h"
#include "pollenledge/process/forward_node.h"

namespace pollenledge {
namespace {

using std::chrono::milliseconds;

constexpr Duration kTablesBound = std::chrono::seconds(3);
constexpr Duration kKeyFreshness = std::chrono::seconds(5);
constexpr Duration kStep = milliseconds(10);
/// Time from the start of a read until it fails.
constexpr Duration kFailedReadTime = milliseconds(1100);

std::string ServiceOf(std::uint64_t version) {
  return "service-" + std::to_string(version);
}

/// Tables whose only route leads to the service of their version. Their
/// document is the version, in several parts.
std::shared_ptr<const ForwardingIndex> MakeTables(std::uint64_t version) {
  constexpr std::size_t kDocumentBytes = 20'000;
  std::string document = std::to_string(version) + ' ';
  document.resize(kDocumentBytes, '.');
  return std::make_shared<const ForwardingIndex>(
      testing::MakeOneRouteTables(version, ServiceOf(version)),
      std::move(document));
}

/// A store with changing tables and a fleet of nodes, of which some can't read
/// it. Datagrams between nodes take a millisecond, and may be lost.
class PartlyServedFleet {
 public:
  static constexpr std::uint64_t kMaxVersions = 300;

  explicit PartlyServedFleet(std::size_t nodes) : random_(nodes) {
    nodes_.resize(nodes);
    for (std::size_t i = 0; i < nodes; ++i) Restart(i);
    RunFor(std::chrono::seconds(3));
  }

  /// Starts or restarts a node, which then knows nothing.
  void Restart(std::size_t i) {
    ForwardNodeOptions options;
    options.self.id = {"n" + std::to_string(i), ++incarnation_};
    options.self.peer_address = std::to_string(i);
    options.seeds = {"0", "1", "2"};
    options.key_freshness = kKeyFreshness;
    options.tables_bound = kTablesBound;
    options.random_seed = incarnation_;
    nodes_[i] = {std::make_unique<ForwardNode>(options), {}, 0};
    ListUpstreams(i);
  }

  /// Writes the next version of the tables.
  void WriteTables() {
    ++version_;
    written_at_[version_] = now_;
  }

  void RunFor(Duration time) {
    for (const TimePoint end = now_ + time; now_ < end; now_ += kStep) Step();
  }

  /// Submits a request to each node that the store turns away, and counts how
  /// it is handled.
  void SubmitToUnserved() {
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      if (!is_turned_away(i)) continue;
      ForwardSpec spec;
      spec.host = "h";
      spec.path = "/read/x";
      spec.api_key = testing::kOneRouteKey;
      requests_[++last_id_] = now_;
      Submit(i, forward_event::RequestArrived{last_id_, spec});
    }
  }

  const ForwardNode& node(std::size_t i) const { return *nodes_[i].node; }
  std::size_t size() const { return nodes_.size(); }
  std::uint64_t VersionOf(std::size_t i) const {
    const auto& index = node(i).tables_index();
    return index == nullptr ? 0 : index->tables().version;
  }

  /// Tells which nodes the store turns away. Unset: none.
  std::function<bool(std::size_t)> is_turned_away = [](std::size_t) {
    return false;
  };
  /// Tells which nodes run a release that knows nothing of such requests.
  std::function<bool(std::size_t)> is_earlier_release = [](std::size_t) {
    return false;
  };
  double datagram_loss = 0;

  int served = 0;
  int served_late = 0;  ///< By tables that were overdue when it arrived.
  std::map<std::string, int> rejected;  ///< By the reason.
  int tables_messages = 0;

 private:
  struct Node {
    std::unique_ptr<ForwardNode> node;
    std::optional<TimePoint> read_started_at;
    std::uint64_t read_version = 0;
  };

  void Step() {
    Deliver();
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      FinishRead(i);
      const bool is_due = node(i).NeedsTablesRead(kTablesBound * 6 / 10, now_);
      if (is_due) StartRead(i);
      if (node(i).NextTickTime(now_) <= now_)
        Submit(i, forward_event::Ticked{});
    }
  }

  void ListUpstreams(std::size_t i) {
    std::vector<ForwardUpstreamInfo> upstreams;
    for (std::uint64_t version = 1; version <= kMaxVersions; ++version) {
      ForwardUpstreamInfo upstream;
      upstream.id = {"upstream-" + std::to_string(version), 1};
      upstream.service = ServiceOf(version);
      upstream.slots = 1'000'000;
      upstreams.push_back(upstream);
    }
    Submit(i, forward_event::UpstreamsListed{upstreams, 1, now_});
  }

  void StartRead(std::size_t i) {
    if (nodes_[i].read_started_at.has_value()) return;
    nodes_[i].read_started_at = now_;
    nodes_[i].read_version = version_;
  }

  void FinishRead(std::size_t i) {
    const std::optional<TimePoint> started = nodes_[i].read_started_at;
    if (!started.has_value()) return;
    if (!is_turned_away(i)) {
      nodes_[i].read_started_at.reset();
      Submit(i, forward_event::TablesRead{MakeTables(nodes_[i].read_version),
                                          *started});
    } else if (now_ - *started >= kFailedReadTime) {
      nodes_[i].read_started_at.reset();
      Submit(i, forward_event::TablesReadFailed{*started});
    }
  }

  void Submit(std::size_t i, const ForwardEvent& event) {
    for (const ForwardAction& action :
         nodes_[i].node->Handle(event, {now_, WallTime()}))
      Execute(i, action);
  }

  void Execute(std::size_t i, const ForwardAction& action) {
    if (std::holds_alternative<forward_action::ReadTables>(action))
      StartRead(i);
    if (const auto* send = std::get_if<forward_action::SendHeartbeat>(&action))
      datagrams_.push_back({i, send->message});
    if (const auto* parse = std::get_if<forward_action::ParseTables>(&action))
      Submit(i, forward_event::TablesFromPeer{
                    MakeTables(std::stoull(parse->document)), parse->peer,
                    parse->confirmed_at});
    if (const auto* sent = std::get_if<forward_action::SendAttempt>(&action))
      CountServed(*sent);
    if (const auto* reject = std::get_if<forward_action::Reject>(&action))
      ++rejected[reject->not_run.problem_type];
  }

  void CountServed(const forward_action::SendAttempt& sent) {
    const std::uint64_t version =
        std::stoull(sent.upstream.name.substr(std::string("upstream-").size()));
    const auto next = written_at_.upper_bound(version);
    ++served;
    if (next != written_at_.end() &&
        requests_.at(sent.id) - next->second > kTablesBound)
      ++served_late;
  }

  void Deliver() {
    std::vector<std::pair<std::size_t, HeartbeatMessage>> datagrams;
    datagrams.swap(datagrams_);
    for (auto& [from, message] : datagrams) {
      const std::size_t to = std::stoul(message.address);
      Heartbeat& heartbeat = message.heartbeat;
      if (heartbeat.tables_request.has_value() ||
          heartbeat.tables_reply.has_value())
        ++tables_messages;
      if (is_earlier_release(to)) heartbeat.tables_request.reset();
      if (std::uniform_real_distribution<>(0, 1)(random_) < datagram_loss)
        continue;
      if (to < nodes_.size() && to != from)
        Submit(to, forward_event::HeartbeatReceived{heartbeat});
    }
  }

  TimePoint now_{std::chrono::seconds(1000)};
  std::mt19937 random_;
  std::uint64_t incarnation_ = 0;
  std::vector<Node> nodes_;
  std::vector<std::pair<std::size_t, HeartbeatMessage>> datagrams_;
  std::uint64_t version_ = 1;
  std::map<std::uint64_t, TimePoint> written_at_;  ///< Each version but 1.
  std::map<ForwardId, TimePoint> requests_;        ///< When each arrived.
  ForwardId last_id_ = 0;
};

class TablesFromPeers : public ::testing::TestWithParam<std::size_t> {};
INSTANTIATE_TEST_SUITE_P(Fleets, TablesFromPeers,
                         ::testing::Values(2U, 7U, 12U, 40U));

// Guards against a node that goes on by old tables, or rejects all keys,
// because the store turns it away while its peers have what it lacks (CONFIG
// with full links).
TEST_P(TablesFromPeers, ANodeThatTheStoreTurnsAwayKeepsUpWithItsPeers) {
  PartlyServedFleet fleet(GetParam());
  fleet.is_turned_away = [&](std::size_t i) { return i == fleet.size() - 1; };
  for (int change = 0; change < 40; ++change) {
    fleet.WriteTables();
    for (int i = 0; i < 5; ++i) {
      fleet.RunFor(milliseconds(100));
      fleet.SubmitToUnserved();
    }
  }
  EXPECT_EQ(fleet.served_late, 0);
  EXPECT_TRUE(fleet.rejected.empty()) << fleet.rejected.begin()->first;
  EXPECT_EQ(fleet.served, 200);
}

// Guards against a part of the fleet that asks only those that know no more.
TEST_P(TablesFromPeers, AThirdOfTheFleetKeepsUpThroughAStormAndLosses) {
  PartlyServedFleet fleet(GetParam());
  fleet.is_turned_away = [](std::size_t i) { return i % 3 == 1; };
  fleet.datagram_loss = 0.1;
  for (int change = 0; change < 60; ++change) {
    fleet.WriteTables();
    fleet.RunFor(milliseconds(300));
    fleet.SubmitToUnserved();
  }
  EXPECT_EQ(fleet.served_late, 0);
  EXPECT_EQ(fleet.rejected["stale-configuration"], 0);
  EXPECT_GE(fleet.served, 59 * static_cast<int>((fleet.size() + 1) / 3));
}

// Guards against a node that stays without tables because it starts while the
// store turns it away.
TEST_P(TablesFromPeers, ANodeThatStartsWithoutTheStoreGetsTables) {
  PartlyServedFleet fleet(GetParam());
  const std::size_t last = fleet.size() - 1;
  EXPECT_EQ(fleet.VersionOf(last), 1U);
  fleet.is_turned_away = [last](std::size_t i) { return i == last; };
  fleet.Restart(last);
  fleet.RunFor(std::chrono::seconds(3));
  EXPECT_EQ(fleet.VersionOf(last), 1U);
}

// Guards against a node that serves by old tables because its peers run a
// release that sends it none.
TEST_P(TablesFromPeers, PeersOfAnEarlierReleaseMakeItRejectRequests) {
  PartlyServedFleet fleet(GetParam());
  const std::size_t last = fleet.size() - 1;
  fleet.is_turned_away = [last](std::size_t i) { return i == last; };
  fleet.is_earlier_release = [last](std::size_t i) { return i != last; };
  fleet.RunFor(milliseconds(100));
  fleet.WriteTables();
  fleet.RunFor(2 * kTablesBound);
  fleet.SubmitToUnserved();
  EXPECT_EQ(fleet.served, 0);
  EXPECT_EQ(fleet.rejected["outdated-tables"], 1);
}

// Guards against messages that nodes exchange without need.
TEST_P(TablesFromPeers, NodesThatReadTheStoreAskNobody) {
  PartlyServedFleet fleet(GetParam());
  for (int change = 0; change < 10; ++change) {
    fleet.WriteTables();
    fleet.RunFor(std::chrono::seconds(1));
  }
  EXPECT_EQ(fleet.tables_messages, 0);
}

}  // namespace
}  // namespace pollenledge
