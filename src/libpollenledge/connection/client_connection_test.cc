#include "pollenledge/connection/client_connection.h"

#include <gtest/gtest.h>

#include <array>

#include "pollenledge/connection/loop_clock.h"

namespace pollenledge {
namespace {

using boost::asio::ip::tcp;
using SystemError = boost::system::error_code;

/// A peer that takes one connection and reads it to its end.
class ClientConnectionTest : public ::testing::Test {
 protected:
  ClientConnectionTest()
      : acceptor_(loop_,
                  tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0)),
        peer_(loop_) {
    acceptor_.async_accept(peer_, [this](const SystemError& error) {
      if (!error) ReadOn();
    });
  }

  void ReadOn() {
    peer_.async_read_some(boost::asio::buffer(part_),
                          [this](const SystemError& error, std::size_t size) {
                            received_.append(part_.data(), size);
                            ended_ = static_cast<bool>(error);
                            peer_error_ = error;
                            if (!ended_) ReadOn();
                          });
  }

  /// Sends a request; the connection is closed when its exchange ends or the
  /// peer has read the request.
  void Send(std::optional<TimePoint> send_before) {
    auto connection = std::make_shared<ClientConnection>(
        loop_,
        "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port()));
    ExchangeHandlers handlers;
    handlers.on_head = [](const HttpHead&) { return true; };
    handlers.on_body = [](const std::string&) {};
    handlers.on_end = [this](ExchangeEnd end) { end_ = end; };
    connection->Start("GET / HTTP/1.1\r\n\r\n", "GET", kConnectTimeout,
                      std::move(handlers), send_before);
    while (!ended_ && !end_.has_value() && received_.empty()) loop_.run_one();
    connection->Abort();
    while (!ended_) loop_.run_one();
  }

  static constexpr Duration kConnectTimeout = std::chrono::seconds(5);

  boost::asio::io_context loop_;
  tcp::acceptor acceptor_;
  tcp::socket peer_;
  std::array<char, 512> part_{};
  std::string received_;
  std::optional<ExchangeEnd> end_;
  SystemError peer_error_;  ///< That ended the peer's reading.
  bool ended_ = false;
};

// Found by a hunt: a node that was suspended while it connected sent an order
// of a lease that another node had taken over meanwhile.
TEST_F(ClientConnectionTest, NothingIsSentOnceItIsTooLate) {
  Send(BootNow());
  EXPECT_EQ(end_, ExchangeEnd::kNotSent);
  EXPECT_EQ(received_, "");
}

TEST_F(ClientConnectionTest, ARequestInTimeIsSent) {
  Send(BootNow() + std::chrono::hours(1));
  EXPECT_EQ(received_, "GET / HTTP/1.1\r\n\r\n");
}

// Guards against a call that was given up and still arrives: an orderly close
// lets the kernel deliver what it holds, a reset drops it.
TEST_F(ClientConnectionTest, ARequestThatIsGivenUpIsReset) {
  Send(BootNow() + std::chrono::hours(1));
  EXPECT_EQ(peer_error_, boost::asio::error::connection_reset);
}

}  // namespace
}  // namespace pollenledge
