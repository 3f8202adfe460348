#include "pollenledge/connection/upstream_call.h"

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <gtest/gtest.h>

#include <thread>

namespace pollenledge {
namespace {

constexpr std::size_t kCap = std::size_t{256} * 1024 * 1024;
/// The longest event, and what two sockets hold on the way.
constexpr std::size_t kFewBytes = std::size_t{16} * 1024 * 1024;

// Guards against a line without end that fills the entry's memory: the cause
// of incident BUDGET on the other path.
TEST(UpstreamCallTest, AnEventWithoutEndIsGivenUpSoon) {
  Poco::Net::ServerSocket server(Poco::Net::SocketAddress("127.0.0.1", 0));
  std::size_t sent = 0;
  std::thread engine([&] {
    Poco::Net::StreamSocket connection = server.acceptConnection();
    const std::string head =
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\ndata: ";
    const std::string part(65536, 'x');
    try {
      connection.sendBytes(head.data(), static_cast<int>(head.size()));
      while (sent < kCap) {
        connection.sendBytes(part.data(), static_cast<int>(part.size()));
        sent += part.size();
      }
    } catch (const std::exception&) {
      return;  // Closed, as it should be.
    }
  });
  EngineAttempt attempt;
  attempt.address = server.address().toString();
  attempt.path = "/v1/completions";
  const EngineSink sink = {
      .on_plain_answer = [](const HttpAnswer&) {},
      .on_event = [](const std::string&, std::int64_t) { return true; },
      .on_first_token = [] {}};
  AttemptControl control;
  const event::AttemptEnded ended = RunEngineAttempt(attempt, sink, &control);
  engine.join();
  EXPECT_EQ(ended.end, AttemptEnd::kBroken);
  EXPECT_LT(sent, kFewBytes);
}

}  // namespace
}  // namespace pollenledge
