#include "pollenledge/connection/client_connection.h"

#include <gtest/gtest.h>

#include <array>
#include <boost/asio/write.hpp>
#include <memory>
#include <thread>
#include <vector>

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
                            if (!received_.empty() && !response_.empty()) {
                              Respond();
                            } else if (!peer_finished_) {
                              ReadUntilEnd();
                            }
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
    handlers.may_send = may_send_;
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

  /// Sends a request to a peer that sends `response` and then closes the
  /// connection in order, or resets it. Returns how the exchange ended.
  std::optional<ClientExchangeResult> Receive(const std::string& response,
                                              bool reset) {
    response_ = response;
    reset_ = reset;
    auto connection = std::make_shared<ClientConnection>(
        loop_,
        "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port()));
    ExchangeHandlers handlers;
    handlers.on_head = [](const HttpHead&) { return true; };
    handlers.on_body = [this](const std::string& body) { body_ += body; };
    handlers.on_finished = [this](ClientExchangeResult end) {
      exchange_end_ = end;
    };
    connection->Start("GET / HTTP/1.1\r\n\r\n", "GET", kConnectTimeout,
                      std::move(handlers), std::nullopt);
    while (!exchange_end_.has_value()) loop_.run_one();
    EXPECT_FALSE(connection->reusable());
    return exchange_end_;
  }

  void Respond() {
    boost::asio::write(peer_, boost::asio::buffer(response_));
    if (reset_) {
      // The client must have read the response before the reset discards it.
      reset_timer_.expires_after(std::chrono::milliseconds(20));
      reset_timer_.async_wait([this](const SystemError&) {
        peer_.set_option(boost::asio::socket_base::linger(true, 0));
        peer_.close();
      });
    } else {
      peer_.shutdown(tcp::socket::shutdown_send);
    }
  }

  static constexpr Duration kConnectTimeout = std::chrono::seconds(5);

  boost::asio::io_context loop_;
  tcp::acceptor acceptor_;
  tcp::socket peer_;
  std::array<char, 512> buffer_{};
  std::string received_;
  std::string response_;  ///< Of the peer; empty: it sends none.
  bool reset_ = false;
  std::function<bool()> may_send_;  ///< Of the exchanges that `Send` starts.
  boost::asio::steady_timer reset_timer_{loop_};
  std::string body_;  ///< Received by the client.
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

// Guards against requests to an upstream that left while the connection to it
// was being opened (DRAIN).
TEST_F(ClientConnectionTest, SendsNothingIfRefusedOnceConnected) {
  may_send_ = [] { return false; };
  Send(std::nullopt);
  EXPECT_EQ(exchange_end_, ClientExchangeResult::kNotSent);
  EXPECT_TRUE(received_.empty());
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

/// A response without a length whose end is the end of its connection.
class ResponseWithoutLength
    : public ClientConnectionTest,
      public ::testing::WithParamInterface<const char*> {};

// Guards against a response that is taken for truncated because only the end of
// the connection shows its end.
TEST_P(ResponseWithoutLength, EndsWithAnOrderlyClose) {
  EXPECT_EQ(Receive(std::string(GetParam()) + "\r\nabc", false),
            ClientExchangeResult::kCompleteAtClose);
  EXPECT_EQ(body_, "abc");
}

// Guards against a response that is taken for complete although its connection
// was reset.
TEST_P(ResponseWithoutLength, IsTruncatedByAReset) {
  EXPECT_EQ(Receive(std::string(GetParam()) + "\r\nabc", true),
            ClientExchangeResult::kConnectionLost);
}

INSTANTIATE_TEST_SUITE_P(
    Forms, ResponseWithoutLength,
    ::testing::Values("HTTP/1.1 200 OK\r\n",
                      "HTTP/1.1 200 OK\r\nConnection: close\r\n",
                      "HTTP/1.0 200 OK\r\n",
                      "HTTP/1.0 200 OK\r\nConnection: keep-alive\r\n"));

// Guards against a truncated response that is taken for complete because its
// connection was closed in order.
TEST_F(ClientConnectionTest, ResponseWithLengthIsTruncatedByAnOrderlyClose) {
  EXPECT_EQ(Receive("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nabc", false),
            ClientExchangeResult::kConnectionLost);
}

TEST_F(ClientConnectionTest, ChunkedResponseIsTruncatedByAnOrderlyClose) {
  EXPECT_EQ(
      Receive(
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
          false),
      ClientExchangeResult::kConnectionLost);
}

/// A peer that answers an upload without a length while most of it is unread,
/// and then ends the connection.
class EarlyResponseTest : public ::testing::Test {
 protected:
  enum class End : std::uint8_t { kReset, kOrderlyAndRead, kOrderlyAndUnread };

  static constexpr std::size_t kUploadBytes = std::size_t{4} * 1024 * 1024;
  static constexpr int kRepeats = 40;

  /// Returns how the exchange ended.
  ClientExchangeResult Upload(End end) {
    loop_.restart();
    tcp::socket peer(peer_loop_);
    auto connection = std::make_shared<ClientConnection>(
        loop_,
        "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port()));
    std::optional<ClientExchangeResult> result;
    ExchangeHandlers handlers;
    handlers.on_head = [](const HttpHead&) { return true; };
    handlers.on_body = [](const std::string&) {};
    handlers.on_finished = [&](ClientExchangeResult r) { result = r; };
    connection->Start(
        "POST / HTTP/1.1\r\nContent-Length: " + std::to_string(kUploadBytes) +
            "\r\n\r\n",
        "POST", std::chrono::seconds(5), std::move(handlers), std::nullopt,
        std::make_shared<const std::string>(kUploadBytes, 'x'));
    acceptor_.accept(peer);
    while (peer.available() == 0) loop_.run_one();
    boost::asio::write(
        peer,
        boost::asio::buffer(std::string("HTTP/1.1 200 OK\r\n\r\nhalf a body")));
    if (end == End::kReset) {
      // The client reads the head and the part, and goes on writing.
      loop_.run_for(std::chrono::milliseconds(2));
      peer.set_option(boost::asio::socket_base::linger(true, 0));
      peer.close();
    } else {
      peer.shutdown(tcp::socket::shutdown_send);
    }
    if (end == End::kOrderlyAndUnread) {
      loop_.run_for(std::chrono::milliseconds(2));
      EXPECT_FALSE(result.has_value()) << "a reset may still follow";
      peer.close();  // With unread bytes, this resets the connection.
    }
    if (peer.is_open()) peer.non_blocking(true);
    std::vector<char> buffer(std::size_t{64} * 1024);
    while (!result.has_value()) {
      loop_.run_for(std::chrono::milliseconds(1));
      if (!peer.is_open()) continue;
      SystemError ignored;  // The end of the upload, or nothing to read yet.
      peer.read_some(boost::asio::buffer(buffer), ignored);
    }
    return *result;
  }

  /// Returns how many of the exchanges ended in `result`.
  int CountEnds(End end, ClientExchangeResult result) {
    int count = 0;
    for (int i = 0; i < kRepeats; ++i) count += Upload(end) == result ? 1 : 0;
    return count;
  }

  boost::asio::io_context loop_;
  boost::asio::io_context peer_loop_;  ///< Never runs.
  tcp::acceptor acceptor_{
      peer_loop_, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0)};
};

// Guards against a part of a response that is taken for the whole: the write of
// the request learns of the reset, and the read then finds an orderly end
// (MIXED).
TEST_F(EarlyResponseTest, IsCutOffByAReset) {
  EXPECT_EQ(CountEnds(End::kReset, ClientExchangeResult::kConnectionLost),
            kRepeats);
}

// Guards against a response that is taken for whole before the peer, which has
// ended its side in order, resets the connection (MIXED).
TEST_F(EarlyResponseTest, IsCutOffByAResetThatFollowsAnOrderlyEnd) {
  EXPECT_EQ(
      CountEnds(End::kOrderlyAndUnread, ClientExchangeResult::kConnectionLost),
      kRepeats);
}

TEST_F(EarlyResponseTest, IsWholeIfThePeerTakesTheRestOfTheRequest) {
  EXPECT_EQ(
      CountEnds(End::kOrderlyAndRead, ClientExchangeResult::kCompleteAtClose),
      kRepeats);
}

/// More connections than one call of the poll returns, to a peer whose kernel
/// establishes them while this loop is late.
class LateLoopTest : public ::testing::Test {
 protected:
  static constexpr int kConnections = 400;
  static constexpr Duration kConnectTimeout = std::chrono::milliseconds(50);

  LateLoopTest()
      : acceptor_(peer_loop_,
                  tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0)) {
    // The loop's poll reports what came first. Here, that timers are due.
    due_timer_.expires_after(std::chrono::milliseconds(1));
    due_timer_.async_wait([](const SystemError&) {});
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }

  std::string Address() const {
    return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
  }

  static void BeLate() { std::this_thread::sleep_for(2 * kConnectTimeout); }

  boost::asio::io_context peer_loop_;  ///< Never runs.
  boost::asio::io_context loop_;
  tcp::acceptor acceptor_;
  boost::asio::steady_timer due_timer_{loop_};
};

// Guards against requests that are given up, or sent through other nodes,
// because the process was late and not the network (LOST).
TEST_F(LateLoopTest, ConnectionsThatWereEstablishedInTimeAreUsed) {
  std::vector<std::shared_ptr<ClientConnection>> connections;
  int not_sent = 0;
  for (int i = 0; i < kConnections; ++i) {
    ExchangeHandlers handlers;
    handlers.on_head = [](const HttpHead&) { return true; };
    handlers.on_body = [](const std::string&) {};
    handlers.on_finished = [&](ClientExchangeResult) { ++not_sent; };
    connections.push_back(std::make_shared<ClientConnection>(loop_, Address()));
    connections.back()->Start("GET / HTTP/1.1\r\n\r\n", "GET", kConnectTimeout,
                              std::move(handlers));
  }
  BeLate();
  loop_.run_for(2 * kConnectTimeout);
  EXPECT_EQ(not_sent, 0);
  for (const auto& connection : connections) {
    EXPECT_TRUE(connection->may_have_sent());
    connection->Abort();
  }
}

// Guards against upstreams that count as unreachable because the process was
// late.
TEST_F(LateLoopTest, ProbesThatReachedTheirPeerSucceed) {
  int reached = 0;
  for (int i = 0; i < kConnections; ++i) {
    ProbeConnect(loop_, Address(), kConnectTimeout,
                 [&](bool connected) { reached += connected ? 1 : 0; });
  }
  BeLate();
  loop_.run();
  EXPECT_EQ(reached, kConnections);
}

// Guards against connects that are never given up.
TEST_F(LateLoopTest, AConnectThatIsNotAnsweredTimesOut) {
  // The peer's queue of established connections is full.
  acceptor_.listen(0);
  std::vector<std::unique_ptr<tcp::socket>> others;
  for (int i = 0; i < 3; ++i) {
    others.push_back(std::make_unique<tcp::socket>(loop_));
    others.back()->async_connect(acceptor_.local_endpoint(),
                                 [](const SystemError&) {});
  }
  std::optional<bool> connected;
  ProbeConnect(loop_, Address(), kConnectTimeout,
               [&](bool result) { connected = result; });
  BeLate();
  loop_.run_for(4 * kConnectTimeout);
  EXPECT_EQ(connected, false);
}

/// A pool with one connection that is kept after a response.
class ClientConnectionPoolTest : public ::testing::Test {
 protected:
  ClientConnectionPoolTest() {
    const auto connection = Acquire(ConnectionReuse::kAny);
    bool finished = false;
    ExchangeHandlers handlers;
    handlers.on_head = [](const HttpHead&) { return true; };
    handlers.on_body = [](const std::string&) {};
    handlers.on_finished = [&](ClientExchangeResult) { finished = true; };
    connection->Start("GET / HTTP/1.1\r\n\r\n", "GET", std::chrono::seconds(5),
                      std::move(handlers));
    acceptor_.accept(peer_);
    while (peer_.available() == 0) loop_.run_one();
    boost::asio::write(peer_, boost::asio::buffer(std::string(
                                  "HTTP/1.1 200 OK\r\nContent-Length: "
                                  "0\r\n\r\n")));
    while (!finished) loop_.run_one();
    pool_.Release(connection);
  }

  std::shared_ptr<ClientConnection> Acquire(ConnectionReuse reuse) {
    return pool_.Acquire(
        "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port()), reuse,
        BootClockNow());
  }

  boost::asio::io_context loop_;
  tcp::acceptor acceptor_{
      loop_, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0)};
  tcp::socket peer_{loop_};
  ClientConnectionPool pool_{loop_};
};

TEST_F(ClientConnectionPoolTest, ReusesAConnection) {
  EXPECT_EQ(Acquire(ConnectionReuse::kAny)->request_count(), 1);
  EXPECT_EQ(pool_.opened_count(), 1);
}

// Guards against requests that end with 502 because a late process sends them
// on a connection that the peer has closed in time (LOST).
TEST_F(ClientConnectionPoolTest, DoesNotReuseAConnectionThatThePeerHasClosed) {
  peer_.close();
  EXPECT_EQ(Acquire(ConnectionReuse::kAny)->request_count(), 0);
}

TEST_F(ClientConnectionPoolTest, DoesNotReuseARecentConnectionThatWasClosed) {
  peer_.close();
  EXPECT_EQ(Acquire(ConnectionReuse::kRecentlyUsed)->request_count(), 0);
}

TEST_F(ClientConnectionPoolTest, DoesNotReuseAYoungConnectionThatWasClosed) {
  peer_.close();
  EXPECT_EQ(Acquire(ConnectionReuse::kHalfKeepAlive)->request_count(), 0);
}

}  // namespace
}  // namespace pollenledge
