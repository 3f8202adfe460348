#include "pollenledge/connection/caller_connection.h"

#include <gtest/gtest.h>

#include <array>
#include <boost/asio/write.hpp>
#include <string>
#include <vector>

namespace pollenledge {
namespace {

using boost::asio::ip::tcp;
using SystemError = boost::system::error_code;

/// A pair of connected sockets on one event loop.
struct SocketPair {
  explicit SocketPair(boost::asio::io_context& loop)
      : near_end(loop), far_end(loop) {
    tcp::acceptor acceptor(
        loop, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
    far_end.connect(acceptor.local_endpoint());
    acceptor.accept(near_end);
  }

  tcp::socket near_end;
  tcp::socket far_end;
};

class CallerConnectionTest : public ::testing::Test {
 protected:
  CallerConnectionTest() {
    CallerHandlers handlers;
    handlers.on_request = [this](const std::shared_ptr<CallerConnection>&,
                                 const HttpHead& head,
                                 const std::string& body) {
      requests_.push_back(head.target + " " + body);
    };
    handlers.on_disconnect = [](const std::shared_ptr<CallerConnection>&) {};
    handlers.limits = [] { return CallerLimits(); };
    connection_ = std::make_shared<CallerConnection>(
        std::move(caller_.near_end),
        std::make_shared<const CallerHandlers>(std::move(handlers)));
    connection_->Start();
  }

  /// The caller writes a request with a body.
  void Write(const std::string& target, const std::string& body) {
    boost::asio::write(
        caller_.far_end,
        boost::asio::buffer("POST " + target + " HTTP/1.1\r\nContent-Length: " +
                            std::to_string(body.size()) + "\r\n\r\n" + body));
  }

  void RunUntilRequests(std::size_t count) {
    while (requests_.size() < count) {
      ASSERT_GT(loop_.run_one(), 0U);
    }
  }

  void Respond() {
    HttpHead head;
    head.status = 200;
    connection_->SendResponse(head, "done");
  }

  boost::asio::io_context loop_;
  SocketPair caller_{loop_};
  SocketPair upstream_{loop_};
  std::array<char, 16> upstream_buffer_{};
  std::shared_ptr<CallerConnection> connection_;
  std::vector<std::string> requests_;  ///< Target and body of each.
};

// Guards against a request that is handed on once more, without its body, when
// the response to it and the next request's bytes are found in one turn of the
// event loop (MIXED, UNASKED, REFUSED).
TEST_F(CallerConnectionTest, ARequestIsHandedOnOnceInAnyOrderOfEvents) {
  for (int round = 0; round < 10; ++round) {
    SCOPED_TRACE(round);
    const std::string first = "/" + std::to_string(2 * round);
    const std::string second = "/" + std::to_string(2 * round + 1);
    requests_.clear();
    Write(first, "one");
    RunUntilRequests(1);
    upstream_.near_end.async_read_some(
        boost::asio::buffer(upstream_buffer_),
        [this](const SystemError&, std::size_t) { Respond(); });
    // The loop finds the upstream's response first, then the next request.
    boost::asio::write(upstream_.far_end, boost::asio::buffer("x", 1));
    Write(second, "two");
    RunUntilRequests(2);
    EXPECT_EQ(requests_,
              (std::vector<std::string>{first + " one", second + " two"}));
    Respond();
    loop_.poll();
    EXPECT_EQ(requests_.size(), 2U);
  }
}

// Guards against a connection that stays open during a planned stop because it
// was told to close between two requests.
TEST_F(CallerConnectionTest, ClosesWhenToldToAfterTheResponse) {
  Write("/1", "one");
  RunUntilRequests(1);
  Respond();
  connection_->CloseWhenIdle();
  loop_.poll();
  EXPECT_FALSE(connection_->open());
}

}  // namespace
}  // namespace pollenledge
