// One node that schedules by prediction: an upstream that hangs although its
// health check is good.

#include <gtest/gtest.h>

#include <algorithm>
#include <map>

#include "pollenledge/process/forward_node.h"

namespace pollenledge {
namespace {

constexpr Duration kMillisecond = std::chrono::milliseconds(1);
constexpr Duration kSecond = std::chrono::seconds(1);
constexpr int kUpstreams = 6;
constexpr int kEvents = 40;

/// Drives a node and upstreams of speeds 0.7, 0.7 and 1.7.
class ForwardSpeedsTest : public ::testing::Test {
 protected:
  ForwardSpeedsTest() : node_(Options(true)) { Configure(); }

  static ForwardNodeOptions Options(bool adaptive) {
    ForwardNodeOptions options;
    options.self.id = {"n", 1};
    options.self.peer_address = "n";
    options.retry_slack = 100;
    options.adaptive_scheduling = adaptive;
    return options;
  }

  void Configure() {
    ForwardingTables tables;
    tables.version = 1;
    for (const bool resumable : {true, false}) {
      ForwardingRoute route;
      route.name = resumable ? "draft" : "chat";
      route.host = "h";
      route.path_prefix = "/" + route.name + "/";
      route.kind = RouteKind::kStreaming;
      route.resumable = resumable;
      route.is_public = true;
      route.services = {{"s", 1}};
      route.timeout = 12 * kSecond;
      route.latency_target = 800 * kMillisecond;
      route.event_gap_target = kSecond;
      route.max_attempts = resumable ? 2 : 1;
      tables.routes.push_back(route);
    }
    ForwardingService service;
    service.name = "s";
    service.engine = EngineTraits{.slots = 48};
    tables.services = {service};
    Submit(forward_event::TablesRead{
        std::make_shared<const ForwardingIndex>(std::move(tables)), now_});
    forward_event::UpstreamsListed listed;
    for (int i = 0; i < kUpstreams; ++i) {
      ForwardUpstreamInfo info;
      info.id = {"u" + std::to_string(i), 1};
      info.address = info.id.name;
      info.service = "s";
      info.slots = 48;
      listed.upstreams.push_back(info);
    }
    Submit(listed);
  }

  struct Attempt {
    std::string upstream;
    int events = 0;
    TimePoint next_at;
  };

  void Submit(const ForwardEvent& event) {
    for (const ForwardAction& action : node_.Handle(event, {now_, {}})) {
      if (const auto* send =
              std::get_if<forward_action::SendAttempt>(&action)) {
        attempts_[send->id] = {
            send->upstream.name, 0,
            now_ + FromMilliseconds(100 / SpeedOf(send->upstream.name))};
        ++sent_to_[send->upstream.name];
      } else if (const auto* cancel =
                     std::get_if<forward_action::CancelAttempt>(&action)) {
        attempts_.erase(cancel->id);
      } else if (const auto* line =
                     std::get_if<forward_action::WriteLogLine>(&action)) {
        ++log_[line->event];
      }
    }
  }

  static double SpeedOf(const std::string& upstream) {
    return std::stoi(upstream.substr(1)) % 3 == 2 ? 1.7 : 0.7;
  }

  ForwardId Send(const std::string& route) {
    ForwardSpec spec;
    const ForwardId id = next_id_++;
    spec.trace_id = std::to_string(id);
    spec.host = "h";
    spec.path = "/" + route + "/x";
    spec.prompt_tokens = 800;
    Submit(forward_event::RequestArrived{id, spec});
    return id;
  }

  /// Runs with a new request each `interval`; none if it is zero.
  void Run(Duration time, Duration interval) {
    const TimePoint end = now_ + time;
    TimePoint arrival = now_;
    while (now_ < end) {
      now_ += 5 * kMillisecond;
      if (interval > Duration::zero() && now_ >= arrival) {
        arrival = now_ + interval;
        Send("draft");
      }
      const std::map<ForwardId, Attempt> attempts = attempts_;
      for (const auto& [id, attempt] : attempts) {
        if (now_ >= attempt.next_at && attempt.upstream != hung_) Write(id);
      }
      Submit(forward_event::Ticked{});
    }
  }

  void Write(ForwardId id) {
    Attempt& attempt = attempts_.at(id);
    ++attempt.events;
    attempt.next_at = now_ + FromMilliseconds(30 / SpeedOf(attempt.upstream));
    if (attempt.events == 1) {
      UpstreamSignals signals;
      signals.load = ReportedLoad{5, 0, 48, 100};
      Submit(forward_event::ResponseHeadReceived{id, signals});
      Submit(forward_event::FirstEventReceived{id});
    }
    Submit(forward_event::EventsForwarded{id, attempt.events});
    if (attempts_.count(id) == 0 || attempts_.at(id).events < kEvents) return;
    attempts_.erase(id);
    Submit(
        forward_event::AttemptEnded{id, ForwardOutcome::kCompleted, 200, {}});
  }

  TimePoint now_{std::chrono::seconds(1000)};
  ForwardNode node_;
  std::map<ForwardId, Attempt> attempts_;
  std::map<std::string, int> sent_to_;
  std::map<std::string, int> log_;
  std::string hung_;
  ForwardId next_id_ = 1;
};

// Guards against requests that wait until their deadline at an upstream that
// makes no progress, and against ones that may not run twice being sent again.
TEST_F(ForwardSpeedsTest, HungUpstreamIsLeftAndUsedAgainWhenItProgresses) {
  Run(6 * kSecond, 60 * kMillisecond);
  ASSERT_TRUE(node_.IsPredictive("s"));
  EXPECT_EQ(log_["scheduling_mode"], 1);
  EXPECT_EQ(log_["upstream_stalled"], 0);
  // Fast upstreams get more.
  EXPECT_GT(sent_to_["u2"] + sent_to_["u5"], (sent_to_["u0"] + sent_to_["u1"]));
  // A stream that may not be resumed, at the upstream that hangs.
  ForwardId stays = 0;
  while (stays == 0) {
    const ForwardId id = Send("chat");
    if (attempts_.at(id).upstream == "u2") stays = id;
  }
  Run(300 * kMillisecond, 60 * kMillisecond);
  hung_ = "u2";
  Run(kSecond, 60 * kMillisecond);
  EXPECT_EQ(log_["upstream_stalled"], 1);
  EXPECT_TRUE(node_.stalls().IsStalled({"u2", 1}, now_));
  for (const auto& [id, attempt] : attempts_) {
    EXPECT_TRUE(id == stays || attempt.upstream != "u2") << id;
  }
  ASSERT_EQ(attempts_.count(stays), 1U);
  EXPECT_EQ(attempts_.at(stays).upstream, "u2");
  const int sent = sent_to_["u2"];
  Run(kSecond, 60 * kMillisecond);
  EXPECT_LE(sent_to_["u2"], sent + 1) << "at most a probe";
  hung_.clear();
  Run(kSecond, 60 * kMillisecond);
  EXPECT_GE(log_["upstream_progresses"], 1);
  EXPECT_FALSE(node_.stalls().IsStalled({"u2", 1}, now_));
  // The requests that failed there count in its error rate for some seconds.
  Run(10 * kSecond, 60 * kMillisecond);
  EXPECT_GT(sent_to_["u2"], sent + 2);
}

// Guards against upstreams that count as stalled, in all nodes, because one
// process has not read their events (LOST).
TEST_F(ForwardSpeedsTest, AnUpstreamWhoseEventsWaitUnreadIsNotStalled) {
  Run(6 * kSecond, 60 * kMillisecond);
  ASSERT_TRUE(node_.IsPredictive("s"));
  node_.SetUnreadResponseSource([this](ForwardId id) {
    return attempts_.count(id) > 0 && attempts_.at(id).upstream == hung_;
  });
  hung_ = "u2";
  Run(kSecond, 60 * kMillisecond);
  EXPECT_EQ(log_["upstream_stalled"], 0);
  EXPECT_EQ(log_["upstream_silent"], 0);
}

// Guards against a fleet without the setting that is served differently.
TEST_F(ForwardSpeedsTest, NothingIsLearnedWithoutTheSetting) {
  node_ = ForwardNode(Options(false));
  Configure();
  Run(6 * kSecond, 60 * kMillisecond);
  EXPECT_FALSE(node_.IsPredictive("s"));
  EXPECT_FALSE(node_.speeds().CanPredict("s"));
}

}  // namespace
}  // namespace pollenledge
