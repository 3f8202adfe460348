#include "pollenledge/connection/heartbeat_link.h"

#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <chrono>
#include <random>
#include <string>

#include "pollenledge/process/forward_node.h"

namespace pollenledge {
namespace {

Heartbeat FullHeartbeat() {
  Heartbeat heartbeat;
  MemberRecord record;
  record.id = {"n1", 7};
  record.heartbeat = 3;
  record.domain = "a";
  record.peer_address = "10.0.0.1:7600";
  record.admin_address = "10.0.0.1:8229";
  record.tables_version = 4;
  record.active_requests = 5;
  record.cpu_percent = 50;
  record.customer_usage = {{"c", 12.5}};
  record.late_stream_counts = {{"s", 9, 2}};
  record.unreachable_services = {"s2"};
  heartbeat.records = {record};
  heartbeat.requests_levels = true;
  heartbeat.levels_authoritative = true;
  heartbeat.levels = {{"c", 100, 3}};
  heartbeat.queried_at = TimePoint(std::chrono::seconds(5));
  heartbeat.tables_confirmation_age = std::chrono::milliseconds(30);
  heartbeat.wall_clock_time = WallTime(std::chrono::hours(1000));
  heartbeat.load_reports = {
      {{"u", 2}, {1, 2, 6, 250}, std::chrono::milliseconds(40)}};
  heartbeat.upstreams_revision = 11;
  ForwardUpstreamInfo upstream;
  upstream.id = {"u", 2};
  upstream.address = "10.0.0.9:80";
  upstream.service = "s";
  upstream.domain = "a";
  upstream.slots = 6;
  upstream.leaving = true;
  upstream.reclaimable = true;
  upstream.time_until_removal = std::chrono::seconds(2);
  upstream.remaining_warmup = std::chrono::seconds(1);
  upstream.store_revision = 10;
  upstream.software_version = "v1.1";
  heartbeat.upstream_changes = UpstreamChanges{
      12, {upstream}, {{"gone", 12}}, 99, std::chrono::milliseconds(7)};
  heartbeat.usage_reports = {{352, {{"c", 4}}}};
  heartbeat.accepted_usage_windows = {351};
  heartbeat.prompt_caches = {{1, 1ULL << 40}, {2}, {3}, {4, 5}};
  heartbeat.stream_records = {{{1, 2}, {"s", "v1.1"}}};
  heartbeat.rollout_shares = {
      {.service = "s",
       .target = "v2",
       .order = 7,
       .step = 2,
       .share = 0.05,
       .age = std::chrono::milliseconds(20),
       .ended = true,
       .evidence = {{"read", true, true, 9, 1, 8, 2, 7, 3}}}};
  AdmissionLevel level;
  level.service = "s";
  level.version = 1000;
  level.level = 0.75;
  level.pressure = 1.5;
  level.age = std::chrono::milliseconds(8);
  level.clearing = std::chrono::seconds(3);
  level.classes = {{{1, "r"}, 0.5, 0.25, 1024, 256, 0.125, 1.5}};
  level.hot_customers = {{"c", 6}};
  heartbeat.admission_levels = {level};
  heartbeat.admission_demands = {
      {"s",
       {{{1, "r"}, 0.5, 8, 4, 2, 3, 7, 0.25, 2, 1024, 256, -0.5}},
       {{"c", 4}}}};
  heartbeat.speed_reports = {
      {77, SpeedReportKind::kSpeed, 1.5F, 3, 9, std::chrono::milliseconds(40)}};
  heartbeat.tables_request =
      TablesRequest{41, 42, 8192, TimePoint(std::chrono::milliseconds(5500))};
  heartbeat.tables_reply =
      TablesReply{TimePoint(std::chrono::milliseconds(5400)),
                  TablesPart{42, 9000, 8192, std::string("tables\0!", 8)}};
  return heartbeat;
}

TEST(HeartbeatCodec, RoundTripPreservesAllFields) {
  const Heartbeat sent = FullHeartbeat();
  const std::string bytes = EncodeHeartbeat(sent);
  const Result<Heartbeat> received =
      DecodeHeartbeat(bytes.data(), bytes.size());
  ASSERT_TRUE(Ok(received)) << ErrorOf(received).message;
  EXPECT_EQ(Value(received), sent);
}

// Guards against malformed datagrams that crash the process: any bytes must be
// either a decoding error or a heartbeat that a node can process. Randomly
// corrupts and truncates a valid heartbeat, with a fixed seed.
TEST(HeartbeatCodec, CorruptedBytesDoNotCrashANode) {
  constexpr int kMessages = 20'000;
  std::mt19937_64 random(1);
  const std::string valid = EncodeHeartbeat(FullHeartbeat());
  ForwardNodeOptions options;
  options.self.id = {"n0", 1};
  ForwardNode node(options);
  TimePoint now(std::chrono::seconds(100));
  int accepted = 0;
  for (int i = 0; i < kMessages; ++i) {
    std::string bytes = valid;
    for (std::uint64_t flips = random() % 8; flips > 0; --flips) {
      bytes[random() % bytes.size()] = static_cast<char>(random());
    }
    if (random() % 4 == 0) bytes.resize(random() % bytes.size());
    Result<Heartbeat> heartbeat = DecodeHeartbeat(bytes.data(), bytes.size());
    if (!Ok(heartbeat)) continue;
    ++accepted;
    now += std::chrono::milliseconds(1);
    node.Handle(forward_event::HeartbeatReceived{std::move(Value(heartbeat))},
                {now, WallTime()});
    node.Handle(forward_event::Ticked{}, {now, WallTime()});
  }
  EXPECT_GT(accepted, 0);
}

class HeartbeatLinkTest : public ::testing::Test {
 protected:
  /// Returns a free local address for a link.
  std::string FreeAddress() {
    boost::asio::ip::udp::socket socket(
        loop_, {boost::asio::ip::make_address("127.0.0.1"), 0});
    return "127.0.0.1:" + std::to_string(socket.local_endpoint().port());
  }

  /// Runs the loop until `count` heartbeats have been received or some time has
  /// passed.
  void RunUntilReceived(int count) {
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(5);
    while (received_ < count && std::chrono::steady_clock::now() < end) {
      loop_.run_for(std::chrono::milliseconds(10));
    }
  }

  boost::asio::io_context loop_;
  const std::string sender_address_ = FreeAddress();
  const std::string receiver_address_ = FreeAddress();
  int received_ = 0;
  HeartbeatLink sender_{loop_, sender_address_, [](const Heartbeat&) {}};
  HeartbeatLink receiver_{loop_, receiver_address_,
                          [this](const Heartbeat&) { ++received_; }};
};

// Guards against links that fill up unseen.
TEST_F(HeartbeatLinkTest, CountsTheBytesThatNodesExchange) {
  const Heartbeat heartbeat = FullHeartbeat();
  const std::uint64_t size = EncodeHeartbeat(heartbeat).size();

  sender_.Send({receiver_address_, heartbeat});
  sender_.Send({receiver_address_, heartbeat});
  RunUntilReceived(2);

  ASSERT_EQ(received_, 2);
  EXPECT_EQ(sender_.traffic(), (HeartbeatTraffic{.sent_bytes = 2 * size}));
  EXPECT_EQ(receiver_.traffic(),
            (HeartbeatTraffic{.received_bytes = 2 * size}));
}

// Guards against heartbeats that never leave the node, without a trace.
TEST_F(HeartbeatLinkTest, CountsAHeartbeatLargerThanADatagram) {
  constexpr int kReports = 10'000;
  Heartbeat heartbeat = FullHeartbeat();
  heartbeat.load_reports.resize(kReports, heartbeat.load_reports.front());

  sender_.Send({receiver_address_, heartbeat});

  EXPECT_EQ(sender_.traffic(), (HeartbeatTraffic{.send_failures = 1}));
}

}  // namespace
}  // namespace pollenledge
