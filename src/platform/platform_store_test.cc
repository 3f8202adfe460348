#include "platform/platform_store.h"

#include <gtest/gtest.h>

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "pollenledge/connection/loop_clock.h"
#include "pollenledge/process/config_sync.h"

namespace pollenledge {
namespace {

using boost::asio::ip::tcp;

/// A store that answers each call after a fixed time, on the event loop.
class SlowStore {
 public:
  SlowStore(boost::asio::io_context& loop, Duration answer_time,
            const std::string& body)
      : acceptor_(loop,
                  tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0)),
        answer_time_(answer_time),
        answer_("HTTP/1.1 200 OK\r\nContent-Length: " +
                std::to_string(body.size()) + "\r\n\r\n" + body) {
    Accept();
  }

  std::string address() const {
    return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
  }
  int connections() const { return connections_; }

 private:
  struct Connection {
    explicit Connection(tcp::socket accepted)
        : socket(std::move(accepted)), timer(socket.get_executor()) {}
    tcp::socket socket;
    boost::asio::steady_timer timer;
    std::array<char, 4096> buffer{};
  };

  void Accept() {
    acceptor_.async_accept(
        [this](const boost::system::error_code& error, tcp::socket socket) {
          if (error) return;
          ++connections_;
          AwaitCall(std::make_shared<Connection>(std::move(socket)));
          Accept();
        });
  }

  void AwaitCall(const std::shared_ptr<Connection>& connection) {
    connection->socket.async_read_some(
        boost::asio::buffer(connection->buffer),
        [this, connection](const boost::system::error_code& error,
                           std::size_t) {
          if (!error) AnswerLater(connection);
        });
  }

  void AnswerLater(const std::shared_ptr<Connection>& connection) {
    connection->timer.expires_after(answer_time_);
    connection->timer.async_wait(
        [this, connection](const boost::system::error_code&) {
          boost::system::error_code error;  // The caller may have gone.
          boost::asio::write(connection->socket, boost::asio::buffer(answer_),
                             error);
          if (!error) AwaitCall(connection);
        });
  }

  tcp::acceptor acceptor_;
  Duration answer_time_;
  std::string answer_;
  int connections_ = 0;
};

/// Longer than a read may take.
constexpr Duration kAnswerTime = std::chrono::milliseconds(1300);
constexpr Duration kPatience = std::chrono::seconds(10);
constexpr char kItem[] =
    R"({"key":"k","value":"dGFibGVz","revision":5,"as_of":9})";

class PlatformStoreTest : public ::testing::Test {
 protected:
  /// Runs the loop until `done` returns true. Returns false if it doesn't.
  template <typename Done>
  bool RunUntil(Done done) {
    const TimePoint end = BootClockNow() + kPatience;
    while (!done()) {
      if (BootClockNow() > end) return false;
      loop_.run_one_for(std::chrono::milliseconds(50));
    }
    return true;
  }

  boost::asio::io_context loop_;
};

// Guards against a read that never ends, because its answer needs longer than
// a call may take and is thrown away each time (CONFIG with full links).
TEST_F(PlatformStoreTest, AnAnswerAfterTheTimeoutIsALateResult) {
  SlowStore slow(loop_, kAnswerTime, kItem);
  PlatformStore store(loop_, slow.address(), [](const char*, const char*) {});
  std::optional<StoreItem> late;
  TimePoint late_sent_at;
  store.OnLateRead(
      [&](const std::string& key, const StoreItem& item, TimePoint sent_at) {
        EXPECT_EQ(key, "k");
        late = item;
        late_sent_at = sent_at;
      });
  const TimePoint started = BootClockNow();
  std::optional<Result<StoreItem>> result;
  store.Read("k", [&](const Result<StoreItem>& item) { result = item; });
  ASSERT_TRUE(RunUntil([&] { return late.has_value(); }));
  {
    SCOPED_TRACE("the read itself has ended with an error, as before");
    ASSERT_TRUE(result.has_value());
    EXPECT_FALSE(Ok(*result));
  }
  {
    SCOPED_TRACE("the result is as of when it was asked for");
    EXPECT_EQ(late->entry->value, "tables");
    EXPECT_GE(late_sent_at, started);
    EXPECT_LE(late_sent_at, BootClockNow() - kAnswerTime);
  }
  {
    SCOPED_TRACE("the next read uses a connection that is open");
    const int connections = slow.connections();
    store.Read("k", [](const Result<StoreItem>&) {});
    loop_.run_for(std::chrono::milliseconds(50));
    EXPECT_EQ(slow.connections(), connections);
  }
}

// Guards against a node whose tables are never confirmed, though the store
// answers each of its reads (CONFIG with full links).
TEST_F(PlatformStoreTest, TablesAreConfirmedByASlowStore) {
  SlowStore slow(loop_, kAnswerTime, kItem);
  PlatformStore store(loop_, slow.address(), [](const char*, const char*) {});
  std::vector<TimePoint> confirmed;
  ConfigSync sync(
      loop_, &store, "k", MakeTablesTimes(std::chrono::seconds(3)),
      [](const std::string&) -> Result<ForwardingTables> {
        return ForwardingTables{};
      },
      {[](Duration, TimePoint) { return true; }, [] { return false; },
       [] { return false; }},
      [] { return false; },
      [&](const ForwardEvent& event) {
        const auto* read = std::get_if<forward_event::TablesRead>(&event);
        if (read != nullptr) confirmed.push_back(read->read_started);
      });
  sync.Start();
  EXPECT_TRUE(RunUntil([&] { return confirmed.size() >= 3; }));
}

}  // namespace
}  // namespace pollenledge
