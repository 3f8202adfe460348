#include <gtest/gtest.h>

#include <iterator>
#include <random>
#include <utility>

#include "virtual_world.h"

namespace pollenledge {
namespace {

using testing::MakeModelRequest;
using testing::MakeOrderRequest;
using testing::MakeTables;

constexpr char kCustomer[] = "c";
constexpr int kUpstreamsPerPool = 6;
constexpr AttemptOutcome kPossibleRuns[] = {AttemptOutcome::kConnectionLost,
                                            AttemptOutcome::kCloseDelimited,
                                            AttemptOutcome::kInterrupted};
constexpr AttemptOutcome kNoRuns[] = {AttemptOutcome::kNotSent,
                                      AttemptOutcome::kRejected};

/// One entry without a network, and one request at it.
class LoneEntry {
 public:
  LoneEntry() : node_(MakeOptions()) {
    Submit(event::TablesActivated{
        std::make_shared<const Tables>(MakeTables({kCustomer}))});
    ListUpstreams();
  }

  void Submit(const EntryEvent& event) {
    for (const EntryAction& action : node_.Handle(event, Now())) {
      if (const auto* dispatch = std::get_if<action::Dispatch>(&action)) {
        running_ = *dispatch;
      } else if (const auto* report =
                     std::get_if<action::ReportOutcome>(&action)) {
        outcome_ = report->outcome;
      }
    }
  }
  void ListUpstreams() {
    std::vector<UpstreamInfo> list;
    for (const UpstreamId& id : UpstreamIds()) {
      const std::string pool = id.name.substr(0, id.name.size() - 1);
      list.push_back(
          {id, id.name, pool, "domain-" + id.name, "l4", true, 300'000, 8});
    }
    Submit(event::UpstreamListReceived{list});
  }
  /// No upstream takes another request.
  void RemoveUpstreams() {
    for (const UpstreamId& id : UpstreamIds()) {
      Submit(event::UpstreamNoticeReceived{id, UpstreamState::kGone,
                                           std::nullopt, "notice"});
    }
  }
  void RunFor(Duration duration) {
    now_ += duration;
    Submit(event::TimerTicked{});
  }
  /// Runs until a request that waits for an upstream has waited too long.
  void WaitInVain() {
    RunFor(EntryNode::kResumeTimeout + std::chrono::seconds(1));
  }

  RequestId Send(const RequestSpec& spec) {
    RequestId id = node_.NextRequestId();
    Submit(event::RequestArrived{id, spec});
    return id;
  }
  RequestId SendModelRequest() {
    return Send(MakeModelRequest(kCustomer, Rank::kStandard, 10, 10));
  }
  /// Takes a request over from a peer that has made `attempts` attempts.
  RequestId TakeOver(std::uint32_t attempts, bool may_run_at_peer) {
    HandedOverRequest request;
    request.id = {{"peer", 1}, 1};
    request.spec = MakeModelRequest(kCustomer, Rank::kStandard, 10, 10);
    request.attempts = attempts;
    Submit(event::HandOverReceived{request, may_run_at_peer});
    return request.id;
  }

  /// Ends the attempt that runs. Returns false if none does.
  bool EndAttempt(AttemptOutcome outcome) {
    const std::optional<action::Dispatch> dispatch =
        std::exchange(running_, std::nullopt);
    if (!dispatch.has_value()) return false;
    event::AttemptFinished finished;
    finished.id = dispatch->id;
    finished.attempt = dispatch->attempt;
    finished.result = outcome;
    Submit(finished);
    // Upstreams that rejected a request accept the next one by then.
    RunFor(std::chrono::seconds(1));
    return true;
  }

  /// The outcome that was reported last.
  const std::optional<Outcome>& outcome() const { return outcome_; }
  const EntryNode& node() const { return node_; }

 private:
  static EntryOptions MakeOptions() {
    EntryOptions options;
    options.self.id = {"entry", 1};
    return options;
  }
  static std::vector<UpstreamId> UpstreamIds() {
    std::vector<UpstreamId> ids;
    for (const char* pool : {"models", "services"}) {
      for (int i = 0; i < kUpstreamsPerPool; ++i) {
        ids.push_back({pool + std::to_string(i), 1});
      }
    }
    return ids;
  }
  Instant Now() const { return {now_, WallTime(now_.time_since_epoch())}; }

  TimePoint now_{std::chrono::seconds(1000)};
  EntryNode node_;
  std::optional<action::Dispatch> running_;  ///< The attempt that runs.
  std::optional<Outcome> outcome_;
};

bool IsNotRun(const std::optional<Outcome>& outcome) {
  return outcome.has_value() && std::holds_alternative<NotRun>(*outcome);
}

bool IsUnknown(const std::optional<Outcome>& outcome) {
  return outcome.has_value() &&
         std::holds_alternative<UnknownOutcome>(*outcome);
}

// Guards against "not run" for a request that an upstream may have run before
// the last one did not take it.
TEST(EntryRefusals, UpstreamThatDoesNotTakeARetryIsNoPromise) {
  for (const AttemptOutcome last : kNoRuns) {
    SCOPED_TRACE(ToString(last));
    {
      SCOPED_TRACE("no upstream takes the request");
      LoneEntry entry;
      entry.SendModelRequest();
      for (std::uint32_t i = 0; i < EntryNode::kMaxAttempts; ++i) {
        ASSERT_TRUE(entry.EndAttempt(last));
      }
      EXPECT_TRUE(IsNotRun(entry.outcome()));
    }
    for (const AttemptOutcome first : kPossibleRuns) {
      SCOPED_TRACE(std::string("the first attempt ends as ") + ToString(first));
      LoneEntry entry;
      entry.SendModelRequest();
      ASSERT_TRUE(entry.EndAttempt(first));
      for (std::uint32_t i = 1; i < EntryNode::kMaxAttempts; ++i) {
        ASSERT_TRUE(entry.EndAttempt(last));
      }
      EXPECT_TRUE(IsUnknown(entry.outcome()));
    }
  }
}

// Guards against "not run" for a request that may have run and then waits in
// vain for another upstream.
TEST(EntryRefusals, WaitForAnotherUpstreamIsNoPromise) {
  {
    SCOPED_TRACE("the request was never sent");
    LoneEntry entry;
    entry.RemoveUpstreams();
    entry.SendModelRequest();
    entry.WaitInVain();
    EXPECT_TRUE(IsNotRun(entry.outcome()));
  }
  const auto end_and_wait = [](AttemptOutcome first) {
    LoneEntry entry;
    entry.SendModelRequest();
    entry.RemoveUpstreams();
    EXPECT_TRUE(entry.EndAttempt(first));
    entry.WaitInVain();
    return entry.outcome();
  };
  for (const AttemptOutcome first : kNoRuns) {
    SCOPED_TRACE(ToString(first));
    EXPECT_TRUE(IsNotRun(end_and_wait(first)));
  }
  for (const AttemptOutcome first : kPossibleRuns) {
    SCOPED_TRACE(ToString(first));
    const std::optional<Outcome> outcome = end_and_wait(first);
    ASSERT_TRUE(IsUnknown(outcome));
    EXPECT_GT(std::get<UnknownOutcome>(*outcome).retry_after, Duration(0));
  }
}

// Guards against "not run" for a request that may have run at another entry.
TEST(EntryRefusals, WaitAfterAHandOffIsNoPromise) {
  const auto take_over_and_wait = [](std::uint32_t attempts,
                                     bool may_run_at_peer) {
    LoneEntry entry;
    entry.RemoveUpstreams();
    entry.TakeOver(attempts, may_run_at_peer);
    entry.WaitInVain();
    return entry.outcome();
  };
  {
    SCOPED_TRACE("the peer hadn't sent it");
    EXPECT_TRUE(IsNotRun(take_over_and_wait(0, false)));
  }
  {
    SCOPED_TRACE("the peer had sent it");
    EXPECT_TRUE(IsUnknown(take_over_and_wait(1, false)));
  }
  {
    SCOPED_TRACE("a peer may have taken it, but its response was lost");
    EXPECT_TRUE(IsUnknown(take_over_and_wait(0, true)));
  }
}

// Guards against ways to "not run" that the other tests don't name.
TEST(EntryRefusals, RandomEndsOfAttemptsNeverMakeAFalsePromise) {
  constexpr int kRuns = 500;
  constexpr int kMaxSteps = 100;
  int promises = 0;
  int unknown_outcomes = 0;
  for (int seed = 1; seed <= kRuns; ++seed) {
    SCOPED_TRACE(seed);
    std::mt19937_64 random(static_cast<std::uint64_t>(seed));
    LoneEntry entry;
    entry.SendModelRequest();
    bool may_have_run = false;
    for (int i = 0; i < kMaxSteps && !entry.outcome().has_value(); ++i) {
      if (random() % 4 == 0) entry.RemoveUpstreams();
      const bool possible_run = random() % 4 == 0;
      const AttemptOutcome end =
          possible_run ? kPossibleRuns[random() % std::size(kPossibleRuns)]
                       : kNoRuns[random() % std::size(kNoRuns)];
      if (entry.EndAttempt(end)) {
        may_have_run = may_have_run || possible_run;
      } else {
        entry.WaitInVain();
      }
    }
    ASSERT_TRUE(entry.outcome().has_value());
    EXPECT_EQ(IsNotRun(entry.outcome()), !may_have_run);
    promises += IsNotRun(entry.outcome()) ? 1 : 0;
    unknown_outcomes += IsUnknown(entry.outcome()) ? 1 : 0;
  }
  EXPECT_GT(promises, kRuns / 10);
  EXPECT_GT(unknown_outcomes, kRuns / 10);
}

// Guards against half a body that counts as the response, and against blame for
// upstreams that merely state no length.
TEST(EntryRefusals, ResponseThatMayBeCutIsNeitherCompleteNorACrash) {
  {
    SCOPED_TRACE("an idempotent request is tried again, then unknown");
    LoneEntry entry;
    entry.SendModelRequest();
    for (std::uint32_t i = 0; i < EntryNode::kMaxAttempts; ++i) {
      ASSERT_TRUE(entry.EndAttempt(AttemptOutcome::kCloseDelimited));
    }
    EXPECT_TRUE(IsUnknown(entry.outcome()));
    EXPECT_EQ(entry.node().stats().quarantines, 0U);
  }
  {
    SCOPED_TRACE("an idempotent request completes at another upstream");
    LoneEntry entry;
    entry.SendModelRequest();
    ASSERT_TRUE(entry.EndAttempt(AttemptOutcome::kCloseDelimited));
    ASSERT_TRUE(entry.EndAttempt(AttemptOutcome::kCompleted));
    ASSERT_TRUE(entry.outcome().has_value());
    EXPECT_TRUE(std::holds_alternative<Completed>(*entry.outcome()));
  }
  {
    SCOPED_TRACE("a non-idempotent request is not sent again");
    LoneEntry entry;
    const RequestId id = entry.Send(MakeOrderRequest(kCustomer, "order-1"));
    entry.Submit(event::ClaimReplyReceived{id, ClaimWritten{7}});
    ASSERT_TRUE(entry.EndAttempt(AttemptOutcome::kCloseDelimited));
    EXPECT_TRUE(IsUnknown(entry.outcome()));
    EXPECT_EQ(entry.node().QueryClaimOwner(id).outcome->state,
              ClaimRecord::State::kUnknown);
  }
}

}  // namespace
}  // namespace pollenledge
