#include "pollenledge/connection/hedged_call.h"

#include <gtest/gtest.h>

#include <optional>
#include <vector>

#include "pollenledge/connection/loop_clock.h"

namespace pollenledge {
namespace {

const Error kTimedOut = {ErrorCode::kUnknownOutcome, "timed out"};

HttpResponse MakeResponse(std::string body) {
  HttpResponse response;
  response.status = 200;
  response.body = std::move(body);
  return response;
}

/// A call whose attempts are answered when the test says so.
class HedgedCallTest : public ::testing::Test {
 protected:
  struct Attempt {
    HttpCall call;
    HttpClient::Callback end;
    HttpClient::LateCallback late;
    TimePoint sent_at;
  };

  void Start() {
    HedgedCall::Start(
        loop_, HttpCall{},
        [this](const HttpCall& call, HttpClient::Callback end,
               HttpClient::LateCallback late) {
          attempts_.push_back(
              {call, std::move(end), std::move(late), BootClockNow()});
        },
        [this](Result<HttpResponse> result) {
          ++ends_;
          result_ = std::move(result);
        },
        [this](const Result<HttpResponse>& result, TimePoint sent_at) {
          ++late_results_;
          late_body_ = Value(result).body;
          late_sent_at_ = sent_at;
        });
  }

  void AwaitHedge() {
    while (attempts_.size() < 2) loop_.run_one();
  }

  boost::asio::io_context loop_;
  std::vector<Attempt> attempts_;
  int ends_ = 0;
  std::optional<Result<HttpResponse>> result_;
  int late_results_ = 0;
  std::string late_body_;
  TimePoint late_sent_at_;
};

TEST_F(HedgedCallTest, AnAnsweredCallIsSentOnce) {
  Start();
  attempts_[0].end(MakeResponse("first"));
  loop_.run();
  EXPECT_EQ(attempts_.size(), 1U);
  EXPECT_EQ(Value(*result_).body, "first");
}

TEST_F(HedgedCallTest, TheSecondAttemptHasAConnectionOfItsOwn) {
  Start();
  AwaitHedge();
  EXPECT_FALSE(attempts_[0].call.new_connection);
  EXPECT_TRUE(attempts_[1].call.new_connection);
  {
    SCOPED_TRACE("one that fails doesn't end the call");
    attempts_[0].end(kTimedOut);
    EXPECT_EQ(ends_, 0);
  }
  {
    SCOPED_TRACE("the other one's response is taken");
    attempts_[1].end(MakeResponse("second"));
    EXPECT_EQ(Value(*result_).body, "second");
  }
  {
    SCOPED_TRACE("what comes after it is not");
    attempts_[0].late(MakeResponse("first"));
    EXPECT_EQ(late_results_, 0);
    EXPECT_EQ(ends_, 1);
  }
}

TEST_F(HedgedCallTest, AnAttemptThatHasTimedOutMayStillAnswerTheCall) {
  Start();
  AwaitHedge();
  attempts_[0].end(kTimedOut);
  attempts_[0].late(MakeResponse("first"));
  EXPECT_EQ(Value(*result_).body, "first");
  attempts_[1].end(MakeResponse("second"));
  EXPECT_EQ(ends_, 1);
  EXPECT_EQ(late_results_, 0);
}

// Guards against a late result that is taken for newer than it is (CONFIG with
// full links).
TEST_F(HedgedCallTest, ALateResponseIsReportedOnceAsOfItsAttempt) {
  Start();
  AwaitHedge();
  attempts_[0].end(kTimedOut);
  attempts_[1].end(kTimedOut);
  EXPECT_FALSE(Ok(*result_));
  attempts_[1].late(MakeResponse("second"));
  attempts_[0].late(MakeResponse("first"));
  EXPECT_EQ(ends_, 1);
  EXPECT_EQ(late_results_, 1);
  EXPECT_EQ(late_body_, "second");
  EXPECT_LE(late_sent_at_, attempts_[1].sent_at);
  EXPECT_GE(late_sent_at_, attempts_[0].sent_at);
}

}  // namespace
}  // namespace pollenledge
