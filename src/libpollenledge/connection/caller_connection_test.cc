#include "pollenledge/connection/caller_connection.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <boost/asio/write.hpp>
#include <chrono>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "pollenledge/connection/loop_clock.h"

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

/// The caller writes a whole request without a body.
void WriteGet(tcp::socket& caller) {
  boost::asio::write(
      caller,
      boost::asio::buffer(std::string("GET / HTTP/1.1\r\nHost: h\r\n\r\n")));
}

/// Callers with a connection each, all of which were admitted.
struct ConnectedCallers {
  ConnectedCallers(boost::asio::io_context& loop,
                   const CallerHandlers& handlers, std::size_t count) {
    const auto shared = std::make_shared<const CallerHandlers>(handlers);
    for (std::size_t i = 0; i < count; ++i) {
      callers.push_back(std::make_unique<SocketPair>(loop));
      connections.push_back(std::make_shared<CallerConnection>(
          std::move(callers.back()->near_end), shared));
      EXPECT_TRUE(connections.back()->Start());
    }
  }

  std::vector<std::unique_ptr<SocketPair>> callers;
  std::vector<std::shared_ptr<CallerConnection>> connections;
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

// Guards against a planned stop that closes a kept connection on which a
// request waits that the loop has not read yet (LOST).
TEST_F(CallerConnectionTest, AStopDoesNotCloseAConnectionWithAnUnreadRequest) {
  Write("/1", "one");
  connection_->CloseWhenIdle();
  ASSERT_TRUE(connection_->open());
  RunUntilRequests(1);
  Respond();
  loop_.poll();
  EXPECT_FALSE(connection_->open());
}

// Guards against a request that is handed on although its caller has closed the
// connection behind it, which the loop reads at the same time (GONE).
TEST_F(CallerConnectionTest, ARequestWhoseCallerHasLeftIsNotHandedOn) {
  Write("/1", "one");
  caller_.far_end.close();
  while (connection_->open()) {
    ASSERT_GT(loop_.run_one(), 0U);
  }
  EXPECT_TRUE(requests_.empty());
}

// Guards against a late loop that closes kept connections for their idle
// timeout while whole requests wait unread in them (LOST).
TEST_F(CallerConnectionTest, ALateLoopClosesNoConnectionWithAnUnreadRequest) {
  // More than one call of the loop's poll returns.
  constexpr std::size_t kConnections = 200;
  constexpr auto kIdleTimeout = std::chrono::milliseconds(100);
  std::size_t requests = 0;
  CallerHandlers handlers;
  handlers.limits = [=] {
    CallerLimits limits;
    limits.idle_timeout = kIdleTimeout;
    return limits;
  };
  handlers.on_request = [&](const std::shared_ptr<CallerConnection>&,
                            const HttpHead&,
                            const std::string&) { ++requests; };
  const ConnectedCallers crowd(loop_, handlers, kConnections);
  // A timer that is due before the requests arrive makes the loop look at its
  // timers in its next turn.
  boost::asio::steady_timer tick(loop_, std::chrono::milliseconds(1));
  tick.async_wait([](const SystemError&) {});
  std::this_thread::sleep_for(std::chrono::milliseconds(5));
  for (const auto& caller : crowd.callers) {
    WriteGet(caller->far_end);
  }
  std::this_thread::sleep_for(2 * kIdleTimeout);
  loop_.run_for(kIdleTimeout);
  EXPECT_EQ(requests, kConnections);
}

// Guards against a kept connection that is closed for an incomplete head after
// an empty line behind a body.
TEST_F(CallerConnectionTest, AnEmptyLineBehindABodyBeginsNoRequest) {
  Write("/1", "one");
  boost::asio::write(caller_.far_end, boost::asio::buffer("\r", 1));
  RunUntilRequests(1);
  Respond();
  loop_.poll();
  connection_->CloseWhenIdle();
  EXPECT_FALSE(connection_->open());
}

/// A connection whose handlers, limits and budget a test sets before it starts.
class AbusiveCallerTest : public ::testing::Test {
 protected:
  void Start() {
    handlers_.on_request = [this](const std::shared_ptr<CallerConnection>&,
                                  const HttpHead&,
                                  const std::string&) { ++requests_; };
    handlers_.on_disconnect = [this](const std::shared_ptr<CallerConnection>&) {
      ++disconnects_;
    };
    handlers_.on_drained = [this](const std::shared_ptr<CallerConnection>&) {
      ++drains_;
    };
    handlers_.limits = [this] { return limits_; };
    handlers_.budget = budget_;
    connection_ = std::make_shared<CallerConnection>(
        std::move(caller_.near_end),
        std::make_shared<const CallerHandlers>(handlers_));
    connection_->Start();
  }

  /// Collects what the caller receives.
  void ReadAll() {
    caller_.far_end.async_read_some(
        boost::asio::buffer(buffer_),
        [this](const SystemError& error, std::size_t size) {
          received_.append(buffer_.data(), size);
          end_ = error;
          if (!error) ReadAll();
        });
  }

  template <typename Condition>
  void RunUntil(Condition condition) {
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(9);
    while (!condition() && std::chrono::steady_clock::now() < end)
      loop_.run_for(std::chrono::milliseconds(5));
  }

  /// Starts a response and sends it until the caller should take some of it.
  void SendUntilFull() {
    WriteGet(caller_.far_end);
    RunUntil([this] { return requests_ > 0; });
    HttpHead head;
    head.status = 200;
    connection_->StartChunkedResponse(head);
    for (int i = 0; i < 2000 && !connection_->output_is_full(); ++i) {
      connection_->SendChunk(std::string(std::size_t{16} * 1024, 'x'));
      loop_.poll();
    }
  }

  boost::asio::io_context loop_;
  SocketPair caller_{loop_};
  CallerHandlers handlers_;
  CallerLimits limits_;
  std::shared_ptr<ByteBudget> budget_ =
      std::make_shared<ByteBudget>(MakeByteBudgetLimits(120, 3075));
  std::shared_ptr<CallerConnection> connection_;
  std::array<char, 65536> buffer_{};
  std::string received_;
  SystemError end_;
  int requests_ = 0;
  int disconnects_ = 0;
  int drains_ = 0;
};

// Guards against a body that trickles past its request's deadline, as each byte
// extends the idle timeout.
TEST_F(AbusiveCallerTest, ABodyThatTricklesEndsAtTheRequestsDeadline) {
  handlers_.on_head = [](const HttpHead&) {
    return BodyTerms{"", std::chrono::milliseconds(60)};
  };
  Start();
  ReadAll();
  boost::asio::write(caller_.far_end,
                     boost::asio::buffer(std::string(
                         "POST / HTTP/1.1\r\nContent-Length: 9000\r\n\r\n")));
  RunUntil([this] {
    SystemError ignored;  // The node may have closed the connection.
    if (!end_)
      boost::asio::write(caller_.far_end, boost::asio::buffer("x", 1), ignored);
    return static_cast<bool>(end_);
  });
  EXPECT_EQ(received_.substr(0, 12), "HTTP/1.1 408");
  EXPECT_EQ(end_, boost::asio::error::eof);
  EXPECT_EQ(requests_, 0);
  EXPECT_EQ(budget_->held_bytes(), 0U);
}

// Guards against a request that is handed on after its own deadline because a
// late loop reads its body then.
TEST_F(AbusiveCallerTest, ABodyThatIsReadAfterItsDeadlineIsRefused) {
  handlers_.on_head = [](const HttpHead&) {
    return BodyTerms{"", std::chrono::milliseconds(30)};
  };
  Start();
  ReadAll();
  boost::asio::write(caller_.far_end,
                     boost::asio::buffer(std::string(
                         "POST / HTTP/1.1\r\nContent-Length: 1\r\n\r\n")));
  RunUntil([this] { return budget_->held_bytes() > 0; });
  boost::asio::write(caller_.far_end, boost::asio::buffer("x", 1));
  std::this_thread::sleep_for(std::chrono::milliseconds(60));
  RunUntil([this] { return requests_ > 0 || !received_.empty(); });
  EXPECT_EQ(received_.substr(0, 12), "HTTP/1.1 408");
  EXPECT_EQ(requests_, 0);
}

// Guards against a planned stop that closes a connection before its first
// request can arrive (LOST).
TEST_F(AbusiveCallerTest, AStopLeavesANewConnectionTimeForItsFirstRequest) {
  Start();
  connection_->CloseWhenIdle();
  ASSERT_TRUE(connection_->open());
  RunUntil([this] {
    connection_->CloseWhenIdle();
    return !connection_->open();
  });
  EXPECT_FALSE(connection_->open());
}

// Guards against a refusal that is lost because the connection is reset while
// the caller still sends.
TEST_F(AbusiveCallerTest, ARefusalReachesACallerThatStillSends) {
  ByteBudgetLimits small = MakeByteBudgetLimits(1, 0);
  budget_ = std::make_shared<ByteBudget>(small);
  Start();
  const std::string body(limits_.max_body_bytes, 'x');
  const std::string request =
      "POST / HTTP/1.1\r\nContent-Length: " + std::to_string(body.size()) +
      "\r\n\r\n" + body;
  std::size_t sent = 0;
  boost::asio::async_write(caller_.far_end, boost::asio::buffer(request),
                           [this, &sent](const SystemError&, std::size_t size) {
                             sent = size;
                             ReadAll();  // Only once everything was sent.
                           });
  RunUntil([this] { return static_cast<bool>(end_); });
  EXPECT_EQ(sent, request.size());
  EXPECT_EQ(received_.substr(0, 12), "HTTP/1.1 503");
  EXPECT_EQ(end_, boost::asio::error::eof);
  EXPECT_EQ(requests_, 0);
}

// Guards against a caller that keeps a refused connection open and sends on.
TEST_F(AbusiveCallerTest, DiscardsABoundedPartOfARefusedRequest) {
  limits_.max_body_bytes = 1000;
  Start();
  ReadAll();
  const std::string head =
      "POST / HTTP/1.1\r\nContent-Length: 10000000\r\n\r\n";
  boost::asio::write(caller_.far_end, boost::asio::buffer(head));
  caller_.far_end.non_blocking(true);
  RunUntil([this] {
    SystemError ignored;  // The node closes the connection.
    caller_.far_end.write_some(boost::asio::buffer(buffer_), ignored);
    return !connection_->open();
  });
  EXPECT_FALSE(connection_->open());
  EXPECT_EQ(received_.substr(0, 12), "HTTP/1.1 413");
}

// Guards against a stream that is held for a caller that does not read it.
TEST_F(AbusiveCallerTest, AStreamWaitsForItsCaller) {
  Start();
  SendUntilFull();
  ASSERT_TRUE(connection_->output_is_full());
  EXPECT_LE(budget_->held_bytes(), std::size_t{320} * 1024);
  EXPECT_EQ(drains_, 0);
  ReadAll();
  RunUntil([this] { return drains_ > 0; });
  EXPECT_EQ(drains_, 1);
  EXPECT_FALSE(connection_->output_is_full());
}

// Guards against callers that hold a stream open by taking nothing of it.
TEST_F(AbusiveCallerTest, ACallerThatTakesNothingIsGivenUp) {
  limits_.idle_timeout = std::chrono::milliseconds(200);
  Start();
  SendUntilFull();
  RunUntil([this] { return !connection_->open(); });
  EXPECT_FALSE(connection_->open());
  EXPECT_EQ(disconnects_, 1);
  EXPECT_EQ(budget_->held_bytes(), 0U);
}

// Guards against callers that follow a longer idle timeout than the node, which
// closes their connections while they send the next request (LOST).
TEST_F(AbusiveCallerTest, AnIdleConnectionFollowsARaisedTimeout) {
  limits_.idle_timeout = std::chrono::milliseconds(50);
  Start();
  limits_.idle_timeout = std::chrono::milliseconds(400);
  loop_.run_for(std::chrono::milliseconds(200));
  EXPECT_TRUE(connection_->open());
  RunUntil([this] { return !connection_->open(); });
  EXPECT_FALSE(connection_->open());
}

// Guards against a node that closes a connection whose caller may still go by
// the longer timeout that was in force at its last request.
TEST_F(AbusiveCallerTest, ALoweredTimeoutHoldsFromTheNextRequestOn) {
  limits_.idle_timeout = std::chrono::milliseconds(400);
  Start();
  limits_.idle_timeout = std::chrono::milliseconds(50);
  loop_.run_for(std::chrono::milliseconds(200));
  EXPECT_TRUE(connection_->open());
}

// Guards against tables that are in force at the node, but whose idle timeout
// was shorter before: callers follow the change up to `limits_delay` earlier.
TEST_F(AbusiveCallerTest, AnIdleConnectionOutlastsTheDelayOfTheLimits) {
  limits_.idle_timeout = std::chrono::milliseconds(50);
  handlers_.limits_delay = std::chrono::milliseconds(350);
  Start();
  loop_.run_for(std::chrono::milliseconds(200));
  EXPECT_TRUE(connection_->open());
  RunUntil([this] { return !connection_->open(); });
  EXPECT_FALSE(connection_->open());
}

// Guards against requests on kept connections that are refused by the size
// limits of older tables.
TEST_F(AbusiveCallerTest, EachRequestIsHeldToTheLimitsInForce) {
  limits_.max_body_bytes = 10;
  Start();
  limits_.max_body_bytes = 1000;
  ReadAll();
  boost::asio::write(caller_.far_end,
                     boost::asio::buffer("POST / HTTP/1.1\r\nContent-Length: "
                                         "20\r\n\r\n" +
                                         std::string(20, 'x')));
  RunUntil([this] { return requests_ > 0 || !received_.empty(); });
  EXPECT_EQ(requests_, 1);
  EXPECT_EQ(received_, "");
}

// Guards against a stalled body that keeps the memory that others need.
TEST_F(AbusiveCallerTest, AStalledBodyIsRefusedWhenOthersNeedItsMemory) {
  Start();
  ReadAll();
  boost::asio::write(caller_.far_end,
                     boost::asio::buffer(std::string(
                         "POST / HTTP/1.1\r\nContent-Length: 4000000\r\n"
                         "\r\nx")));
  RunUntil([this] { return budget_->held_bytes() >= 4'000'000; });
  const TimePoint later = BootClockNow() + std::chrono::seconds(2);
  const auto other =
      budget_->Open(ClientGroup::kCallers, {[](ByteBudget::Need) {}}, later);
  EXPECT_TRUE(budget_->TryHold(*other, ByteBudget::Stage::kRequest,
                               std::size_t{29} * 1024 * 1024, later));
  RunUntil([this] { return static_cast<bool>(end_); });
  EXPECT_EQ(received_.substr(0, 12), "HTTP/1.1 503");
}

// Guards against a process that ends because two stalled bodies evict each
// other without end when memory is short, each for the bytes of the response to
// the other, and against a request that is refused although room was made for
// it, or refused twice on one connection (LOST, MIXED).
TEST_F(AbusiveCallerTest, ARefusalDoesNotEvictTheCallerThatNeedsTheRoom) {
  constexpr std::size_t kStep = std::size_t{64} * 1024;
  constexpr auto kStall = std::chrono::milliseconds(30);
  struct Case {
    std::size_t room;
    int refusals;  ///< Of the request that asks for two steps.
  };
  for (const Case& expected : {Case{4 * kStep, 0}, Case{2 * kStep, 1}}) {
    SCOPED_TRACE(expected.room);
    ByteBudgetLimits limits = MakeByteBudgetLimits(120, 3075);
    limits.node_bytes = expected.room;
    limits.stall_bound = kStall;
    const auto budget = std::make_shared<ByteBudget>(limits);
    CallerHandlers handlers;
    handlers.limits = [] { return CallerLimits(); };
    handlers.budget = budget;
    int requests = 0;
    handlers.on_request = [&](const std::shared_ptr<CallerConnection>&,
                              const HttpHead&,
                              const std::string&) { ++requests; };
    handlers.on_disconnect = [](const std::shared_ptr<CallerConnection>&) {};
    const auto shared = std::make_shared<const CallerHandlers>(handlers);
    SocketPair asking(loop_);
    SocketPair stalled(loop_);
    const auto asking_connection =
        std::make_shared<CallerConnection>(std::move(asking.near_end), shared);
    const auto stalled_connection =
        std::make_shared<CallerConnection>(std::move(stalled.near_end), shared);
    ASSERT_TRUE(asking_connection->Start());
    ASSERT_TRUE(stalled_connection->Start());
    const std::string head =
        "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n10002\r\n";
    boost::asio::write(asking.far_end,
                       boost::asio::buffer(head + std::string(kStep - 1, 'x')));
    RunUntil([&] { return budget->held_bytes() >= kStep; });
    loop_.run_for(kStall);
    const std::size_t rest = expected.room - budget->held_bytes() - 2000;
    boost::asio::write(stalled.far_end,
                       boost::asio::buffer("POST / HTTP/1.1\r\n"
                                           "Content-Length: " +
                                           std::to_string(rest) + "\r\n\r\n"));
    RunUntil([&] { return budget->held_bytes() >= expected.room - 2000; });
    loop_.run_for(2 * kStall);
    // The next byte needs another step.
    boost::asio::write(asking.far_end, boost::asio::buffer(std::string("xx")));
    loop_.run_for(2 * kStall);
    boost::asio::write(asking.far_end,
                       boost::asio::buffer(std::string("x\r\n0\r\n\r\n")));
    loop_.run_for(2 * kStall);
    const auto refusals_of = [&](SocketPair& caller) {
      SystemError ignored;  // Nothing to read, or the end of the connection.
      caller.far_end.non_blocking(true);
      const std::size_t size =
          caller.far_end.read_some(boost::asio::buffer(buffer_), ignored);
      const std::string received(buffer_.data(), size);
      int count = 0;
      for (std::size_t at = received.find("HTTP/1.1 503");
           at != std::string::npos; at = received.find("HTTP/1.1 503", at + 1))
        ++count;
      return count;
    };
    EXPECT_EQ(refusals_of(stalled), 1);
    EXPECT_EQ(refusals_of(asking), expected.refusals);
    EXPECT_EQ(requests, 1 - expected.refusals);
  }
}

// Guards against requests on kept connections that are lost because a late loop
// closes the connections to make room for new ones (LOST).
TEST_F(CallerConnectionTest, AnUnreadRequestIsNotEvicted) {
  constexpr std::size_t kConnections = 20;
  ByteBudgetLimits limits = MakeByteBudgetLimits(120, 3075);
  limits.connections[0] = kConnections;
  CallerHandlers handlers;
  handlers.limits = [] { return CallerLimits(); };
  handlers.budget = std::make_shared<ByteBudget>(limits);
  int requests = 0;
  handlers.on_request = [&](const std::shared_ptr<CallerConnection>&,
                            const HttpHead&,
                            const std::string&) { ++requests; };
  const ConnectedCallers crowd(loop_, handlers, kConnections);
  // Those that have been idle for longest send a request.
  constexpr int kRequests = kConnections / 2;
  for (int i = 0; i < kRequests; ++i) {
    WriteGet(crowd.callers[static_cast<std::size_t>(i)]->far_end);
  }
  int admitted = 0;
  for (int i = 0; i < kRequests; ++i) {
    const auto id = handlers.budget->Open(
        ClientGroup::kCallers, {[](ByteBudget::Need) {}}, BootClockNow());
    admitted += id.has_value() ? 1 : 0;
  }
  EXPECT_EQ(admitted, kRequests);
  loop_.run_for(std::chrono::milliseconds(100));
  EXPECT_EQ(requests, kRequests);
}

/// The process has as many connections as it may, and none can be evicted.
class FullProcessTest : public AbusiveCallerTest {
 protected:
  static constexpr int kRefusedConnections = 2;

  FullProcessTest() {
    ByteBudgetLimits limits = MakeByteBudgetLimits(120, 3075);
    limits.connections[static_cast<std::size_t>(ClientGroup::kCallers)] = 1;
    limits.connections[static_cast<std::size_t>(ClientGroup::kRefused)] =
        kRefusedConnections;
    budget_ = std::make_shared<ByteBudget>(limits);
    const auto served = budget_->Open(
        ClientGroup::kCallers, {[](ByteBudget::Need) {}}, BootClockNow());
    budget_->SetActivity(*served, ByteBudget::Activity::kServing,
                         BootClockNow());
  }
};

// Guards against a new connection that is closed without a response because the
// process has no room for it (LOST).
TEST_F(FullProcessTest, ARequestOnANewConnectionIsRefused) {
  std::string refused;
  handlers_.on_refused = [&](const HttpHead& request, int) {
    refused = request.target;
    return std::vector<HttpField>{{"Retry-After", "1"}};
  };
  Start();
  const std::string body(std::size_t{100} * 1024, 'x');
  boost::asio::async_write(
      caller_.far_end,
      boost::asio::buffer("POST /late HTTP/1.1\r\nContent-Length: " +
                          std::to_string(body.size()) + "\r\n\r\n" + body),
      [this](const SystemError&, std::size_t) { ReadAll(); });
  RunUntil([this] { return static_cast<bool>(end_); });
  EXPECT_EQ(received_.substr(0, 12), "HTTP/1.1 503");
  EXPECT_NE(received_.find("Retry-After: 1\r\n"), std::string::npos);
  EXPECT_EQ(refused, "/late");
  EXPECT_EQ(end_, boost::asio::error::eof);
  EXPECT_EQ(requests_, 0);
}

// Guards against callers that exhaust the descriptors with connections that
// the process only refuses.
TEST_F(FullProcessTest, RefusedConnectionsAreBounded) {
  handlers_.limits = [] { return CallerLimits(); };
  handlers_.budget = budget_;
  const auto shared = std::make_shared<const CallerHandlers>(handlers_);
  std::vector<std::unique_ptr<SocketPair>> callers;
  std::vector<std::shared_ptr<CallerConnection>> connections;
  for (int i = 0; i < 2 * kRefusedConnections; ++i) {
    callers.push_back(std::make_unique<SocketPair>(loop_));
    connections.push_back(std::make_shared<CallerConnection>(
        std::move(callers.back()->near_end), shared));
    EXPECT_FALSE(connections.back()->Start());
  }
  const auto count_open = [&] {
    return std::count_if(connections.begin(), connections.end(),
                         [](const auto& c) { return c->open(); });
  };
  {
    SCOPED_TRACE("in number: the oldest give way");
    EXPECT_EQ(count_open(), kRefusedConnections);
    EXPECT_TRUE(connections.back()->open());
  }
  {
    SCOPED_TRACE("and in time");
    RunUntil([&] { return count_open() == 0; });
    EXPECT_EQ(count_open(), 0);
  }
}

// Guards against a caller that keeps an answer that it does not take by sending
// more requests.
TEST_F(AbusiveCallerTest, RequestsAreNoProgressOfACallerThatTakesNothing) {
  Start();
  SendUntilFull();
  ASSERT_TRUE(connection_->output_is_full());
  loop_.poll();
  WriteGet(caller_.far_end);
  const TimePoint later = BootClockNow() + std::chrono::seconds(2);
  const auto other =
      budget_->Open(ClientGroup::kCallers, {[](ByteBudget::Need) {}}, later);
  budget_->TryHold(*other, ByteBudget::Stage::kRequest,
                   std::size_t{41} * 1024 * 1024, later);
  EXPECT_FALSE(connection_->open());
}

// Guards against the end of an answer that its caller took while the loop was
// late, because others need its memory.
TEST_F(AbusiveCallerTest, AnAnswerThatCanBeSentIsNotEvicted) {
  Start();
  SendUntilFull();
  ASSERT_TRUE(connection_->output_is_full());
  std::size_t taken = 0;
  caller_.far_end.non_blocking(true);
  SystemError error;
  while (!error)
    taken += caller_.far_end.read_some(boost::asio::buffer(buffer_), error);
  ASSERT_GT(taken, 0U);
  const TimePoint later = BootClockNow() + std::chrono::seconds(2);
  const auto other =
      budget_->Open(ClientGroup::kCallers, {[](ByteBudget::Need) {}}, later);
  budget_->TryHold(*other, ByteBudget::Stage::kRequest,
                   std::size_t{41} * 1024 * 1024, later);
  EXPECT_TRUE(connection_->open());
}

}  // namespace
}  // namespace pollenledge
