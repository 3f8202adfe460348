#include <gtest/gtest.h>

#include <nlohmann/json.hpp>
#include <random>

#include "pollenledge/process/cost_ledger.h"
#include "pollenledge/process/entry_stats.h"
#include "pollenledge/process/membership.h"
#include "pollenledge/process/time_line.h"
#include "pollenledge/request/completion.h"

namespace pollenledge {
namespace {

WallTime WallMicros(std::int64_t microseconds) {
  return WallTime(Duration(microseconds));
}

// Nodes' clocks can differ by more than the time between two events. The merged
// time line must show a cause before its effect, by the hybrid logical clock.
TEST(TimeLineTest, MergeOrdersCauseBeforeEffectDespiteClockSkew) {
  // The second node's clock is an hour behind.
  TimeLine first({"first", 1}, 100);
  TimeLine second({"second", 1}, 100);
  first.Add({.kind = EventKind::kHandedOver}, WallMicros(3'600'000'000));
  second.AdvanceForReceive(first.AdvanceForSend(WallMicros(3'600'000'001)),
                           WallMicros(5));
  second.Add({.kind = EventKind::kTakenOver}, WallMicros(6));
  second.Add({.kind = EventKind::kAnswered}, WallMicros(7));
  const auto merged =
      MergeTimeLines({{second.events().begin(), second.events().end()},
                      {first.events().begin(), first.events().end()}});
  ASSERT_EQ(merged.size(), 3U);
  EXPECT_EQ(merged[0].kind, EventKind::kHandedOver);
  EXPECT_EQ(merged[1].kind, EventKind::kTakenOver);
  EXPECT_EQ(merged[2].kind, EventKind::kAnswered);
}

TEST(TimeLineTest, KeepsTheLatestEventsAndCountsDroppedOnes) {
  TimeLine line({"n", 1}, 3);
  for (int i = 0; i < 5; ++i) line.Add({}, WallMicros(i));
  EXPECT_EQ(line.events().size(), 3U);
  EXPECT_EQ(line.dropped(), 2U);
  EXPECT_EQ(line.events().front().sequence, 3U);
}

TEST(TimeLineTest, RoundTripsThroughJsonAndExportsAChromeTrace) {
  TimeLine line({"n", 1}, 3);
  TimeLineEvent event;
  event.kind = EventKind::kMoved;
  event.request = {{"n", 1}, 4};
  event.attempt = 2;
  event.customer = "c";
  event.detail = "at token 3";
  line.Add(event, WallMicros(8));
  const std::vector<TimeLineEvent> events(line.events().begin(),
                                          line.events().end());
  const auto read = ParseTimeLine(ToJson(events));
  ASSERT_TRUE(Ok(read));
  EXPECT_EQ(Value(read), events);
  const auto trace = nlohmann::json::parse(ToChromeTrace(events));
  EXPECT_EQ(trace["traceEvents"].back()["name"], "moved");
  EXPECT_EQ(trace["traceEvents"].back()["ts"], 8);
  EXPECT_NE(ToText(events).find("moved n.1.4 attempt 2 customer c"),
            std::string::npos);
}

// Rounding each line on its own would lose or add amounts, so the lines must
// add up to the bill exactly.
TEST(CostTest, CostLinesAddUpToTheBillExactly) {
  for (std::uint64_t seed = 1; seed <= 500; ++seed) {
    std::mt19937_64 random(seed);
    std::vector<BilledInstances> bill;
    CostLedger ledger;
    for (int i = 0; i < 4; ++i) {
      const std::string domain = "d" + std::to_string(i);
      BilledInstances line{domain,
                           "l4",
                           static_cast<std::int64_t>(random() % 1'000'000),
                           Duration(random() % 10'000'000'000),
                           8,
                           static_cast<double>(random() % 3) / 10};
      bill.push_back(line);
      for (int c = 0; c < 5; ++c) {
        SlotUsageKey key;
        key.customer = "c" + std::to_string(c);
        key.domain = domain;
        key.machine_class = "l4";
        key.purpose = static_cast<CostPurpose>(random() % 3);
        ledger.Add(key, {Duration(random() % 9'000'000'000), 5, 1});
      }
    }
    std::int64_t sum = 0;
    for (const CostLine& line : AllocateCost(bill, ledger.usage())) {
      EXPECT_GE(line.micros, 0);
      sum += line.micros;
    }
    EXPECT_EQ(sum, TotalCost(bill)) << "seed " << seed;
  }
}

TEST(CostTest, SpareShareIsTheShareOfTheLargestDomain) {
  std::vector<BilledInstances> bill = {
      {"d1", "l4", 100, std::chrono::hours(2), 8, 0},
      {"d2", "l4", 100, std::chrono::hours(1), 8, 0},
      {"d2", "a10", 100, std::chrono::hours(1), 8, 0}};
  SetSpareShares(&bill);
  for (const BilledInstances& line : bill) {
    EXPECT_DOUBLE_EQ(line.spare_share, 0.5);
  }
}

TEST(CostTest, IdleAndSpareTimeAreSeparateLines) {
  CostLedger ledger;
  SlotUsageKey key;
  key.customer = "c";
  key.domain = "d";
  key.machine_class = "l4";
  ledger.Add(key, {std::chrono::minutes(30), 1, 1});
  const std::vector<BilledInstances> bill = {
      {"d", "l4", 1'000'000, std::chrono::hours(1), 1, 0.2}};
  std::map<std::string, std::int64_t> by_line;
  for (const CostLine& line : AllocateCost(bill, ledger.usage())) {
    by_line[line.category] = line.micros;
  }
  EXPECT_EQ(by_line["answers"], 500'000);
  EXPECT_EQ(by_line["spare"], 200'000);
  EXPECT_EQ(by_line["idle"], 300'000);
}

TEST(MetricsTest, RendersOneHistogramForEachRank) {
  EntryStats stats;
  stats.ForRank(Rank::kUrgent)
      .time_to_first_token.Add(std::chrono::milliseconds(250));
  stats.ForRank(Rank::kUrgent).time_to_first_token.Add(std::chrono::hours(1));
  CostLedger costs;
  SlotUsageKey key;
  key.customer = "c";
  key.rank = Rank::kUrgent;
  costs.Add(key, {std::chrono::seconds(7), 1, 1});
  const std::string text = RenderMetrics(stats, costs, 3, 2);
  EXPECT_NE(text.find("purpose=\"answers\"} 7"), std::string::npos);
  EXPECT_NE(text.find("pollenledge_first_token_seconds_bucket{rank=\"urgent\","
                      "le=\"+Inf\"} 2"),
            std::string::npos);
  EXPECT_NE(text.find("pollenledge_first_token_seconds_count{rank=\"urgent\"} "
                      "2"),
            std::string::npos);
  EXPECT_NE(text.find("pollenledge_active_requests 3"), std::string::npos);
}

MemberRecord MakeMember(const std::string& name, std::uint64_t incarnation,
                        std::uint64_t heartbeat) {
  MemberRecord record;
  record.id = {name, incarnation};
  record.heartbeat = heartbeat;
  record.peer_address = name + ":1";
  return record;
}

// Delayed gossip carries old records. Neither an old heartbeat nor an old
// incarnation may make an unreachable member alive.
TEST(MembershipTest, AMemberWithoutHeartbeatsIsSuspectedThenUnreachable) {
  Membership members(MakeMember("a", 1, 0), {"b:1"}, 1);
  const TimePoint start(std::chrono::seconds(100));
  members.OnHeartbeat({MakeMember("b", 1, 5)}, start);
  const auto status_after = [&](Duration time) {
    return members.Others(start + time).at(0).status;
  };
  EXPECT_EQ(status_after(std::chrono::seconds(1)), MemberStatus::kAlive);
  EXPECT_EQ(status_after(std::chrono::seconds(4)), MemberStatus::kSuspect);
  EXPECT_EQ(status_after(std::chrono::seconds(11)), MemberStatus::kUnreachable);
  // An old heartbeat does not make it alive, and neither does an old
  // incarnation.
  members.OnHeartbeat({MakeMember("b", 1, 5)}, start + std::chrono::seconds(9));
  EXPECT_EQ(status_after(std::chrono::seconds(11)), MemberStatus::kUnreachable);
  members.OnHeartbeat({MakeMember("b", 2, 1)}, start + std::chrono::seconds(9));
  EXPECT_EQ(status_after(std::chrono::seconds(11)), MemberStatus::kAlive);
  members.OnHeartbeat({MakeMember("b", 1, 99)},
                      start + std::chrono::seconds(10));
  EXPECT_EQ(members.Others(start).at(0).record.id.incarnation, 2U);
}

TEST(MembershipTest, HeartbeatTrafficDoesNotGrowWithTheFleet) {
  Membership members(MakeMember("self", 1, 0), {}, 1);
  const TimePoint now(std::chrono::seconds(100));
  for (int i = 0; i < 360; ++i) {
    members.OnHeartbeat({MakeMember("n" + std::to_string(i), 1, 1)}, now);
  }
  const auto messages = members.OnTick(now);
  EXPECT_LE(messages.size(), HeartbeatOptions().fanout);
  for (const HeartbeatMessage& message : messages) {
    EXPECT_LE(message.heartbeat.records.size(),
              HeartbeatOptions().records_per_message);
  }
  EXPECT_TRUE(members.OnTick(now + std::chrono::milliseconds(1)).empty());
}

TEST(CompletionTest, ErrorsOfInvalidBodiesNameTheField) {
  const auto problem = [](const std::string& body) {
    const auto result = ParseCompletionRequest(CompletionApi::kChat, "c", body);
    return Ok(result) ? std::string() : ErrorOf(result).message;
  };
  EXPECT_EQ(problem("{"), "the body is not a JSON object");
  EXPECT_EQ(problem("{}"),
            "field \"model\": found nothing, allowed: a model's name");
  EXPECT_EQ(problem(R"({"model":"m","messages":[]})"),
            "field \"messages\": found [], allowed: a list of at least one "
            "message");
  EXPECT_EQ(problem(R"({"model":"m","messages":[{"role":"user",)"
                    R"("content":"x"}],"max_tokens":0})"),
            "field \"max_tokens\": found 0, allowed: an integer from 1 to "
            "32768");
  EXPECT_EQ(problem(R"({"model":"m","messages":[{"role":"user",)"
                    R"("content":"x"}],"service_tier":"first"})"),
            "field \"service_tier\": found \"first\", allowed: urgent, "
            "standard, background, auto");
}

TEST(CompletionTest, PromptsWithACommonPrefixShareTheirFirstHashes) {
  const std::string common_prefix(600, 'a');
  const auto hashes = [&](const std::string& suffix) {
    const auto request = ParseCompletionRequest(
        CompletionApi::kText, "c",
        R"({"model":"m","prompt":")" + common_prefix + suffix + "\"}");
    return Value(request).spec.prefix_hashes;
  };
  const auto one = hashes(std::string(400, 'b'));
  const auto two = hashes(std::string(400, 'c'));
  ASSERT_EQ(one.size(), 3U);
  EXPECT_EQ(one[1], two[1]);
  EXPECT_NE(one[2], two[2]);
}

TEST(RequestIdTest, RoundTripsThroughTextAndRejectsInvalidText) {
  const RequestId id{{"batumi-a.1", 7}, 9};
  EXPECT_EQ(Value(ParseRequestId(ToString(id))), id);
  for (const char* bad : {"", "a", "a.1", ".1.2", "a.x.2", "a.1."}) {
    EXPECT_FALSE(Ok(ParseRequestId(bad))) << bad;
  }
}

}  // namespace
}  // namespace pollenledge
