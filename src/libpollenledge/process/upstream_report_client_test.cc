#include "pollenledge/process/upstream_report_client.h"

#include <gtest/gtest.h>

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace pollenledge {
namespace {

using boost::asio::ip::tcp;
using SystemError = boost::system::error_code;

constexpr Duration kLongestCall = std::chrono::seconds(5);
constexpr Duration kLongerThanACall = std::chrono::milliseconds(900);

std::string Response(const std::string& status, const std::string& body,
                     const std::string& fields = "") {
  return "HTTP/1.1 " + status + "\r\n" + fields +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// An upstream on a loopback address that writes `response_` to each request.
class UpstreamReportClientTest : public ::testing::Test {
 protected:
  UpstreamReportClientTest()
      : acceptor_(loop_,
                  tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0)),
        connection_(std::make_shared<ClientConnection>(
            loop_,
            "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port()))) {
    codec_.report_path = "/report";
    codec_.decode_response = [](const HttpHead& head) {
      ResponseInfo info;
      if (const std::string* id = head.Find("Id")) info.trace_id = *id;
      return info;
    };
    codec_.decode_incarnation =
        [](const std::string& report) -> std::optional<std::uint64_t> {
      if (report != "7") return std::nullopt;
      return 7;
    };
    acceptor_.async_accept([this](const SystemError& error, tcp::socket peer) {
      if (error) return;
      peer_.emplace(std::move(peer));
      Serve();
    });
  }

  void Serve() {
    peer_->async_read_some(
        boost::asio::buffer(buffer_),
        [this](const SystemError& error, std::size_t size) {
          if (error) return;
          request_.assign(buffer_.data(), size);
          SystemError ignored;  // The client may have closed the connection.
          boost::asio::write(*peer_, boost::asio::buffer(response_), ignored);
          if (closes_) peer_->close(ignored);
        });
  }

  /// Makes the call and returns how it ended; empty if it does not end.
  std::optional<UpstreamReport> Call() {
    std::optional<UpstreamReport> ended;
    client_.Call(connection_,
                 [&](const UpstreamReport& report) { ended = report; });
    const auto end = std::chrono::steady_clock::now() + kLongestCall;
    while (!ended.has_value() && std::chrono::steady_clock::now() < end)
      loop_.run_one_for(std::chrono::milliseconds(10));
    return ended;
  }

  boost::asio::io_context loop_;
  tcp::acceptor acceptor_;
  std::optional<tcp::socket> peer_;
  std::array<char, 4096> buffer_{};
  ForwardingCodec codec_;
  std::shared_ptr<ClientConnection> connection_;
  UpstreamReportClient client_{loop_, codec_};
  std::string request_;
  std::string response_;
  bool closes_ = false;
};

using Result = ClientExchangeResult;

// Guards against a request that needs another connection after the report, so
// that it may reach another process than the one that reported.
TEST_F(UpstreamReportClientTest, AReportLeavesItsConnectionUsable) {
  response_ = Response("200 OK", "7");
  EXPECT_EQ(Call(), (UpstreamReport{Result::kComplete, 200, false, 7}));
  EXPECT_EQ(request_.substr(0, request_.find('\r')), "GET /report HTTP/1.1");
  EXPECT_TRUE(connection_->reusable());
  EXPECT_EQ(connection_->request_count(), 1);
}

// Guards against an upstream that falls silent or writes without end and holds
// up the request until its deadline.
TEST_F(UpstreamReportClientTest, ACallEndsInABoundedTime) {
  response_ = "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n7";
  EXPECT_EQ(Call(),
            (UpstreamReport{Result::kConnectionLost, 200, false, std::nullopt}))
      << "the rest of the report does not come";
  EXPECT_FALSE(connection_->reusable());
}

// Guards against a sound upstream that counts as silent because the node did
// not look at its connection.
TEST_F(UpstreamReportClientTest, ALateLoopDoesNotEndACall) {
  response_ = Response("200 OK", "7");
  std::optional<UpstreamReport> ended;
  client_.Call(connection_,
               [&](const UpstreamReport& report) { ended = report; });
  std::this_thread::sleep_for(kLongerThanACall);
  const auto end = std::chrono::steady_clock::now() + kLongestCall;
  while (!ended.has_value() && std::chrono::steady_clock::now() < end)
    loop_.run_one_for(std::chrono::milliseconds(10));
  EXPECT_EQ(ended, (UpstreamReport{Result::kComplete, 200, false, 7}));
}

// Guards against memory that grows with what an upstream writes.
TEST_F(UpstreamReportClientTest, ALongResponseIsNoReport) {
  response_ = Response("200 OK", std::string(100000, '7'));
  EXPECT_EQ(Call(),
            (UpstreamReport{Result::kInvalid, 200, false, std::nullopt}));
  EXPECT_FALSE(connection_->reusable());
}

// Guards against a late copy of another response that is read as a report.
TEST_F(UpstreamReportClientTest, TellsWhetherTheResponseNamesARequest) {
  response_ = Response("200 OK", "7", "Id: a\r\n");
  EXPECT_EQ(Call(), (UpstreamReport{Result::kComplete, 200, true, 7}));
}

// Guards against an incarnation that is read from half a report.
TEST_F(UpstreamReportClientTest, AReportThatIsCutStatesNothing) {
  response_ = "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n7";
  closes_ = true;
  EXPECT_EQ(Call(), (UpstreamReport{Result::kConnectionLost, 200, false,
                                    std::nullopt}));
}

// Guards against a call that goes on for a request that has ended, and against
// a callback to an owner that no longer exists.
TEST_F(UpstreamReportClientTest, CallsWhoseOwnersEnd) {
  int ended = 0;
  client_.Call(connection_, [&](const UpstreamReport&) { ++ended; });
  connection_->Abort();
  loop_.run_for(kLongerThanACall);
  EXPECT_EQ(ended, 1) << "the connection's owner aborted it";
  {
    UpstreamReportClient client(loop_, codec_);
    client.Call(
        std::make_shared<ClientConnection>(loop_, connection_->address()),
        [&](const UpstreamReport&) { ++ended; });
    loop_.run_for(std::chrono::milliseconds(20));
  }
  loop_.run_for(kLongerThanACall);
  EXPECT_EQ(ended, 1) << "the client's owner ended";
}

// Guards against a stream that goes on, or a response that counts as whole,
// because of something that is not the upstream's own whole report.
TEST(UpstreamReportTest, WhatCountsAsAReport) {
  EXPECT_TRUE(IsReport({Result::kComplete, 200, false, 7}));
  EXPECT_TRUE(IsReport({Result::kComplete, 200, false, std::nullopt}));
  EXPECT_TRUE(IsReport({Result::kComplete, 404, false, std::nullopt}));
  EXPECT_TRUE(IsReport({Result::kCompleteAtClose, 200, false, 7}));
  EXPECT_FALSE(IsReport({Result::kCompleteAtClose, 200, false, std::nullopt}));
  EXPECT_FALSE(IsReport({Result::kComplete, 200, true, 7}));
  EXPECT_FALSE(IsReport({Result::kComplete, 503, false, std::nullopt}));
  EXPECT_FALSE(IsReport({Result::kConnectionLost, 200, false, std::nullopt}));
  EXPECT_FALSE(IsReport({Result::kInvalid, 200, false, std::nullopt}));
  EXPECT_FALSE(IsReport({Result::kNotSent, 0, false, std::nullopt}));
}

}  // namespace
}  // namespace pollenledge
