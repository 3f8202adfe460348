#include "pollenledge/connection/client_connection.h"

#include <gtest/gtest.h>

#include <array>

#include "pollenledge/connection/loop_clock.h"

namespace pollenledge {
namespace {

using boost::asio::ip::tcp;
using SystemError = boost::system::error_code;

/// Runs a peer that accepts one connection and reads from it until it ends.
class ClientConnectionTest : public ::testing::Test {
 protected:
  ClientConnectionTest()
      : acceptor_(loop_,
                  tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0)),
        peer_(loop_) {
    acceptor_.async_accept(peer_, [this](const SystemError& error) {
      if (!error) ReadUntilEnd();
    });
  }

  void ReadUntilEnd() {
    peer_.async_read_some(boost::asio::buffer(buffer_),
                          [this](const SystemError& error, std::size_t size) {
                            received_.append(buffer_.data(), size);
                            peer_finished_ = static_cast<bool>(error);
                            peer_error_ = error;
                            if (!peer_finished_) ReadUntilEnd();
                          });
  }

  /// Sends a request, and aborts the connection once the exchange has finished
  /// or the peer has received bytes of the request.
  void Send(std::optional<TimePoint> send_before) {
    auto connection = std::make_shared<ClientConnection>(
        loop_,
        "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port()));
    ExchangeHandlers handlers;
    handlers.on_head = [](const HttpHead&) { return true; };
    handlers.on_body = [](const std::string&) {};
    handlers.on_finished = [this](ClientExchangeResult end) {
      exchange_end_ = end;
    };
    connection->Start("GET / HTTP/1.1\r\n\r\n", "GET", kConnectTimeout,
                      std::move(handlers), send_before);
    while (!peer_finished_ && !exchange_end_.has_value() && received_.empty())
      loop_.run_one();
    connection->Abort();
    while (!peer_finished_) loop_.run_one();
  }

  static constexpr Duration kConnectTimeout = std::chrono::seconds(5);

  boost::asio::io_context loop_;
  tcp::acceptor acceptor_;
  tcp::socket peer_;
  std::array<char, 512> buffer_{};
  std::string received_;
  std::optional<ClientExchangeResult> exchange_end_;
  SystemError peer_error_;  ///< The error that ended the peer's reading.
  bool peer_finished_ = false;
};

// Guards against a node that is suspended while connecting and then sends a
// scale request under a lease that another node has acquired meanwhile. Found
// in a search for faults.
TEST_F(ClientConnectionTest, SendsNothingIfConnectedAfterSendBefore) {
  Send(BootClockNow());
  EXPECT_EQ(exchange_end_, ClientExchangeResult::kNotSent);
  EXPECT_EQ(received_, "");
}

TEST_F(ClientConnectionTest, SendsRequestIfConnectedBeforeSendBefore) {
  Send(BootClockNow() + std::chrono::hours(1));
  EXPECT_EQ(received_, "GET / HTTP/1.1\r\n\r\n");
}

// Guards against an aborted call that still reaches the peer. After an orderly
// close the kernel delivers the bytes in its send buffer; a reset discards
// them.
TEST_F(ClientConnectionTest, AbortResetsConnectionAfterRequestWasSent) {
  Send(BootClockNow() + std::chrono::hours(1));
  EXPECT_EQ(peer_error_, boost::asio::error::connection_reset);
}

}  // namespace
}  // namespace pollenledge
