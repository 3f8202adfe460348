#include "pollenledge/process/response_end_verifier.h"

#include <gtest/gtest.h>

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <thread>
#include <utility>
#include <vector>

#include "pollenledge/connection/loop_clock.h"

namespace pollenledge {
namespace {

using boost::asio::ip::tcp;
using SystemError = boost::system::error_code;

constexpr std::uint64_t kIncarnation = 7;

// Guards against half a body that passes as a whole response because another
// process, or none, responds in place of the one that sent it.
TEST(ResponseEndTest, OnlyTheSameIncarnationShowsThatItLivesOn) {
  const auto assess = [](std::uint64_t expected, ClientExchangeResult end,
                         int status, std::optional<std::uint64_t> reported) {
    return AssessReport(expected, {end, status, false, reported});
  };
  using Result = ClientExchangeResult;
  using Proof = ResponseEndProof;
  EXPECT_EQ(assess(7, Result::kComplete, 200, 7), Proof::kSameIncarnation);
  EXPECT_EQ(assess(7, Result::kCompleteAtClose, 200, 7),
            Proof::kSameIncarnation);
  EXPECT_EQ(assess(7, Result::kComplete, 200, 8), Proof::kOtherIncarnation);
  EXPECT_EQ(assess(7, Result::kNotSent, 0, std::nullopt), Proof::kNoProcess);
  EXPECT_EQ(assess(7, Result::kConnectionLost, 200, std::nullopt),
            Proof::kNoAnswer);
  EXPECT_EQ(assess(7, Result::kInvalid, 200, std::nullopt), Proof::kNoAnswer);
  // The upstream has no report, the report has no incarnation, or it is not
  // known which one is expected.
  EXPECT_EQ(assess(7, Result::kComplete, 404, std::nullopt),
            Proof::kLivingProcess);
  EXPECT_EQ(assess(7, Result::kComplete, 200, std::nullopt),
            Proof::kLivingProcess);
  EXPECT_EQ(assess(0, Result::kComplete, 200, 7), Proof::kLivingProcess);
  EXPECT_EQ(assess(7, Result::kCompleteAtClose, 200, std::nullopt),
            Proof::kNoAnswer);
  EXPECT_EQ(assess(7, Result::kComplete, 502, std::nullopt), Proof::kNoAnswer);
  // A process that does not say who it is, but responds.
  EXPECT_EQ(assess(7, Result::kComplete, 401, std::nullopt),
            Proof::kLivingProcess);
  EXPECT_EQ(assess(7, Result::kComplete, 429, std::nullopt),
            Proof::kLivingProcess);
}

// Guards against a process that was started again while the node was late, and
// that does not say so.
TEST(ResponseEndTest, AnUnnamedProcessCountsOnlyIfTheEndIsRecent) {
  EXPECT_TRUE(IsWholeAtClose(ResponseEndProof::kSameIncarnation, true));
  EXPECT_TRUE(IsWholeAtClose(ResponseEndProof::kLivingProcess, false));
  EXPECT_FALSE(IsWholeAtClose(ResponseEndProof::kLivingProcess, true));
  EXPECT_FALSE(IsWholeAtClose(ResponseEndProof::kOtherIncarnation, false));
  EXPECT_FALSE(IsWholeAtClose(ResponseEndProof::kNoProcess, false));
  EXPECT_FALSE(IsWholeAtClose(ResponseEndProof::kNoAnswer, false));
}

/// An upstream on a loopback address that writes `response_` to each request.
class ResponseEndVerifierTest : public ::testing::Test {
 protected:
  ResponseEndVerifierTest()
      : acceptor_(loop_,
                  tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0)),
        address_("127.0.0.1:" +
                 std::to_string(acceptor_.local_endpoint().port())) {
    codec_.report_path = "/report";
    codec_.decode_response = [](const HttpHead&) { return ResponseInfo(); };
    codec_.decode_incarnation =
        [](const std::string& report) -> std::optional<std::uint64_t> {
      if (report.empty()) return std::nullopt;
      return std::stoull(report);
    };
    Accept();
  }

  void Accept() {
    acceptor_.async_accept([this](const SystemError& error, tcp::socket peer) {
      if (error) return;
      const auto socket = std::make_shared<tcp::socket>(std::move(peer));
      peers_.push_back(socket);
      socket->async_read_some(
          boost::asio::buffer(buffer_),
          [this, socket](const SystemError& failed, std::size_t size) {
            if (failed) return;
            request_.assign(buffer_.data(), size);
            if (response_.empty()) return;
            boost::asio::write(*socket, boost::asio::buffer(response_));
            if (closes_) socket->close();
          });
      Accept();
    });
  }

  /// Returns what the call shows; empty if it does not end.
  std::optional<ResponseEndProof> Verify(TimePoint sent_at = TimePoint(),
                                         std::uint64_t listed = kIncarnation) {
    std::optional<ResponseEndProof> proof;
    verifier_.Verify(address_, listed, sent_at,
                     [&](ResponseEndProof shown) { proof = shown; });
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(5);
    while (!proof.has_value() && std::chrono::steady_clock::now() < end)
      loop_.run_one_for(std::chrono::milliseconds(10));
    return proof;
  }

  boost::asio::io_context loop_;
  tcp::acceptor acceptor_;
  std::string address_;
  ForwardingCodec codec_;
  ResponseEndVerifier verifier_{loop_, codec_};
  std::vector<std::shared_ptr<tcp::socket>> peers_;
  std::array<char, 4096> buffer_{};
  std::string request_;
  std::string response_;
  bool closes_ = false;
};

// Guards against a check that passes whatever the upstream's process reports.
TEST_F(ResponseEndVerifierTest, ComparesTheReportedIncarnation) {
  response_ = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n7";
  EXPECT_EQ(Verify(), ResponseEndProof::kSameIncarnation);
  EXPECT_EQ(request_.substr(0, request_.find('\r')), "GET /report HTTP/1.1");
  response_.back() = '8';
  EXPECT_EQ(Verify(), ResponseEndProof::kOtherIncarnation);
  response_ = "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n";
  EXPECT_EQ(Verify(), ResponseEndProof::kLivingProcess);
  // Each call has a connection of its own.
  EXPECT_EQ(peers_.size(), 3U);
}

// Guards against responses that fail until the list of upstreams has the
// incarnation that sends them, and against a process that was not there yet
// when the request was sent.
TEST_F(ResponseEndVerifierTest, KnowsAnIncarnationThatTheListHasNotYet) {
  const TimePoint before = BootClockNow();
  response_ = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n8";
  EXPECT_EQ(Verify(before), ResponseEndProof::kOtherIncarnation);
  EXPECT_EQ(Verify(before), ResponseEndProof::kOtherIncarnation);
  EXPECT_EQ(Verify(BootClockNow()), ResponseEndProof::kSameIncarnation);
  // The listed one.
  response_.back() = '7';
  EXPECT_EQ(Verify(BootClockNow()), ResponseEndProof::kSameIncarnation);
}

// Guards against half a body that passes as whole although its process has been
// replaced, because the list names no incarnation (MIXED).
TEST_F(ResponseEndVerifierTest, NoticesAReplacementThatTheListDoesNotName) {
  constexpr std::uint64_t kUnlisted = 0;
  response_ = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n7";
  EXPECT_EQ(Verify(BootClockNow(), kUnlisted), ResponseEndProof::kLivingProcess)
      << "nothing is known yet";
  EXPECT_EQ(Verify(BootClockNow(), kUnlisted),
            ResponseEndProof::kSameIncarnation);
  const TimePoint sent_before = BootClockNow();
  response_.back() = '8';
  EXPECT_EQ(Verify(sent_before, kUnlisted), ResponseEndProof::kOtherIncarnation)
      << "replaced since";
  EXPECT_EQ(Verify(sent_before, kUnlisted), ResponseEndProof::kOtherIncarnation)
      << "replaced before another response to it was verified";
  EXPECT_EQ(Verify(BootClockNow(), kUnlisted),
            ResponseEndProof::kSameIncarnation);
}

// Guards against a killed process that counts as living, or that holds up the
// request for longer than the bound.
TEST_F(ResponseEndVerifierTest, NoResponseShowsNothing) {
  const auto started = std::chrono::steady_clock::now();
  EXPECT_EQ(Verify(), ResponseEndProof::kNoAnswer) << "silent";
  EXPECT_LT(std::chrono::steady_clock::now() - started,
            std::chrono::seconds(3));
  response_ = "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n7";
  closes_ = true;
  EXPECT_EQ(Verify(), ResponseEndProof::kNoAnswer) << "broken off";
  acceptor_.close();
  EXPECT_EQ(Verify(), ResponseEndProof::kNoProcess) << "refused";
}

// Guards against a late event loop that takes a report that is already there
// for a missing one.
TEST_F(ResponseEndVerifierTest, ReadsAReportThatWaitsForALateLoop) {
  std::optional<ResponseEndProof> proof;
  ResponseEndVerifier verifier(loop_, codec_);
  verifier.Verify(address_, kIncarnation, TimePoint(),
                  [&](ResponseEndProof shown) { proof = shown; });
  while (request_.empty()) loop_.run_one();
  // Runs in the turn of the loop in which the timeout is handled, just before
  // it, so that the report can't have been read.
  boost::asio::steady_timer responds(loop_, std::chrono::milliseconds(1));
  responds.async_wait([this](const boost::system::error_code&) {
    boost::asio::write(*peers_.back(),
                       boost::asio::buffer(std::string(
                           "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n7")));
  });
  std::this_thread::sleep_for(std::chrono::milliseconds(800));
  while (!proof.has_value()) loop_.run_one();
  EXPECT_EQ(proof, ResponseEndProof::kSameIncarnation);
}

// Guards against blaming requests for upstreams that were only slow to report.
TEST(ResponseEndTest, OnlyAnEndedProcessCountsAsLost) {
  EXPECT_TRUE(ShowsEndedProcess(ResponseEndProof::kNoProcess));
  EXPECT_TRUE(ShowsEndedProcess(ResponseEndProof::kOtherIncarnation));
  EXPECT_FALSE(ShowsEndedProcess(ResponseEndProof::kNoAnswer));
  EXPECT_FALSE(ShowsEndedProcess(ResponseEndProof::kLivingProcess));
}

// Guards against a callback to an owner that no longer exists.
TEST_F(ResponseEndVerifierTest, DoesNotCallBackAfterItsEnd) {
  bool is_called = false;
  {
    ResponseEndVerifier verifier(loop_, codec_);
    verifier.Verify(address_, kIncarnation, TimePoint(),
                    [&](ResponseEndProof) { is_called = true; });
    loop_.run_for(std::chrono::milliseconds(20));
  }
  loop_.run_for(std::chrono::milliseconds(800));
  EXPECT_FALSE(is_called);
}

}  // namespace
}  // namespace pollenledge
