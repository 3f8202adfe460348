#include "pollenledge/connection/upstream_call.h"

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <gtest/gtest.h>

#include <thread>

namespace pollenledge {
namespace {

constexpr std::size_t kMaxSentBytes = std::size_t{256} * 1024 * 1024;
/// Covers the size limit of an event and the buffers of two sockets.
constexpr std::size_t kEarlyAbortBytes = std::size_t{16} * 1024 * 1024;

// Guards against an event line of unlimited length, which an upstream can use
// to exhaust the entry's memory. Incident BUDGET had the same cause in the
// forwarding path.
TEST(UpstreamCallTest, AbortsEventThatExceedsSizeLimit) {
  Poco::Net::ServerSocket server(Poco::Net::SocketAddress("127.0.0.1", 0));
  std::size_t sent = 0;
  std::thread engine([&] {
    Poco::Net::StreamSocket connection = server.acceptConnection();
    const std::string head =
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\ndata: ";
    const std::string chunk(65536, 'x');
    try {
      connection.sendBytes(head.data(), static_cast<int>(head.size()));
      while (sent < kMaxSentBytes) {
        connection.sendBytes(chunk.data(), static_cast<int>(chunk.size()));
        sent += chunk.size();
      }
    } catch (const std::exception&) {
      return;  // Expected: the entry closes the connection.
    }
  });
  EngineAttempt attempt;
  attempt.address = server.address().toString();
  attempt.path = "/v1/completions";
  const EngineSink sink = {
      .on_plain_response = [](const HttpResponse&) {},
      .on_event = [](const std::string&, std::int64_t) { return true; },
      .on_first_token = [] {}};
  AttemptControl control;
  const event::AttemptFinished ended =
      RunEngineAttempt(attempt, sink, &control);
  engine.join();
  EXPECT_EQ(ended.result, AttemptOutcome::kConnectionLost);
  EXPECT_LT(sent, kEarlyAbortBytes);
}

}  // namespace
}  // namespace pollenledge
