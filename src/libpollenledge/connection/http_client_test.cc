#include "pollenledge/connection/http_client.h"

#include <gtest/gtest.h>

#include <array>
#include <atomic>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <string>
#include <thread>
#include <vector>

namespace pollenledge {
namespace {

using boost::asio::ip::tcp;

/// A peer, on a thread of its own, that receives calls and then responds to all
/// of them.
class HttpClientTest : public ::testing::Test {
 protected:
  /// More than the connections that one call of the poll returns.
  static constexpr int kCalls = 400;
  static constexpr Duration kTimeout = std::chrono::seconds(2);

  void StartPeer(const std::string& response) {
    peer_ = std::thread([this, response] {
      std::vector<tcp::socket> sockets;
      sockets.reserve(kCalls);
      for (int i = 0; i < kCalls; ++i) {
        sockets.push_back(acceptor_.accept());
        std::array<char, 1024> buffer{};
        sockets.back().read_some(boost::asio::buffer(buffer));
      }
      all_received_ = true;
      while (!may_respond_)
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
      for (tcp::socket& socket : sockets)
        boost::asio::write(socket, boost::asio::buffer(response));
      while (!finished_)
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    });
  }

  void StartCalls() {
    HttpCall call;
    call.address =
        "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
    call.method = "GET";
    call.path = "/";
    call.timeout = kTimeout;
    for (int i = 0; i < kCalls; ++i) {
      client_.Call(call, [this](const Result<HttpResponse>& response) {
        ++(Ok(response) ? succeeded_ : failed_);
        if (!Ok(response)) last_error_ = ErrorOf(response).message;
      });
    }
    while (!all_received_) loop_.poll_one();
  }

  /// The responses arrive within the timeout, but the loop does not run until
  /// it has passed.
  void BeLate() {
    // The loop's poll reports what came first. Here, that timers are due.
    due_timer_.expires_after(std::chrono::milliseconds(1));
    due_timer_.async_wait([](const boost::system::error_code&) {});
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
    may_respond_ = true;
    std::this_thread::sleep_for(kTimeout);
  }

  void FinishCalls() {
    const auto end = std::chrono::steady_clock::now() + 3 * kTimeout;
    while (succeeded_ + failed_ < kCalls &&
           std::chrono::steady_clock::now() < end)
      loop_.run_for(std::chrono::milliseconds(5));
    finished_ = true;
    peer_.join();
  }

  boost::asio::io_context peer_loop_;
  tcp::acceptor acceptor_{
      peer_loop_, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0)};
  boost::asio::io_context loop_;
  HttpClient client_{loop_};
  boost::asio::steady_timer due_timer_{loop_};
  std::thread peer_;
  std::atomic<bool> all_received_ = false;
  std::atomic<bool> may_respond_ = false;
  std::atomic<bool> finished_ = false;
  int succeeded_ = 0;
  int failed_ = 0;
  std::string last_error_;
};

// Guards against a node that takes the store for lost, and so its tables and
// its upstreams for outdated, because it was late itself (LOST).
TEST_F(HttpClientTest, ResponsesThatCameInTimeAreReadByALateLoop) {
  StartPeer("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
  StartCalls();
  BeLate();
  FinishCalls();
  EXPECT_EQ(failed_, 0);
  EXPECT_EQ(succeeded_, kCalls);
}

// Guards against calls that wait for the rest of a response for ever.
TEST_F(HttpClientTest, AResponseThatStopsShortTimesOut) {
  StartPeer("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\no");
  StartCalls();
  BeLate();
  FinishCalls();
  EXPECT_EQ(failed_, kCalls);
  EXPECT_EQ(last_error_,
            "no response within the timeout: 1 of 2 bytes of the response's "
            "body");
}

}  // namespace
}  // namespace pollenledge
