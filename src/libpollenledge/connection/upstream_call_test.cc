#include "pollenledge/connection/upstream_call.h"

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <gtest/gtest.h>

#include <array>
#include <cstring>
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

/// Makes one attempt at an engine that sends `response` and then closes the
/// connection. Sets `plain_responses` to the number of responses that would go
/// to the caller as they are.
event::AttemptFinished CallEngine(const std::string& response,
                                  std::int64_t delivered_tokens,
                                  int* plain_responses) {
  Poco::Net::ServerSocket server(Poco::Net::SocketAddress("127.0.0.1", 0));
  std::thread engine([&] {
    Poco::Net::StreamSocket connection = server.acceptConnection();
    std::array<char, 512> buffer{};
    connection.receiveBytes(buffer.data(), static_cast<int>(buffer.size()));
    connection.sendBytes(response.data(), static_cast<int>(response.size()));
  });
  EngineAttempt attempt;
  attempt.address = server.address().toString();
  attempt.path = "/v1/completions";
  attempt.delivered_tokens = delivered_tokens;
  const EngineSink sink = {
      .on_plain_response = [&](const HttpResponse&) { ++*plain_responses; },
      .on_event = [](const std::string&, std::int64_t) { return true; },
      .on_first_token = [] {}};
  AttemptControl control;
  event::AttemptFinished ended = RunEngineAttempt(attempt, sink, &control);
  engine.join();
  return ended;
}

// Guards against the text of an error in the middle of a caller's stream, or a
// stream that ends as if it were complete: the stream broke off, and the next
// engine responds with an error.
TEST(UpstreamCallTest, ErrorInPlaceOfTheRestOfAStreamIsNotPassedOn) {
  for (const char* status : {"404 Not Found", "500 Oops", "302 Found"}) {
    SCOPED_TRACE(status);
    const std::string response = std::string("HTTP/1.1 ") + status +
                                 "\r\nContent-Length: 5\r\n\r\nerror";
    int plain_responses = 0;
    EXPECT_EQ(CallEngine(response, 3, &plain_responses).result,
              AttemptOutcome::kConnectionLost);
    EXPECT_EQ(plain_responses, 0);
    EXPECT_EQ(CallEngine(response, 0, &plain_responses).result,
              AttemptOutcome::kCompleted);
    EXPECT_EQ(plain_responses, 1);
  }
}

// Guards against a head that was cut off and is taken for a whole response.
TEST(UpstreamCallTest, ResponseThatEndsInsideItsHeadIsLost) {
  for (const char* response :
       {"HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\nContent-Le",
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n"}) {
    SCOPED_TRACE(response);
    int plain_responses = 0;
    EXPECT_EQ(CallEngine(response, 0, &plain_responses).result,
              AttemptOutcome::kConnectionLost);
    EXPECT_EQ(plain_responses, 0);
  }
}

/// Makes one service call to an upstream that sends `response` and then closes
/// the connection in order, or resets it.
event::AttemptFinished CallService(const std::string& response, bool reset) {
  Poco::Net::ServerSocket server(Poco::Net::SocketAddress("127.0.0.1", 0));
  std::thread upstream([&] {
    Poco::Net::StreamSocket connection = server.acceptConnection();
    std::array<char, 512> buffer{};
    connection.receiveBytes(buffer.data(), static_cast<int>(buffer.size()));
    connection.sendBytes(response.data(), static_cast<int>(response.size()));
    if (!reset) return;
    // The entry must have read the response before the reset discards it.
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    connection.setLinger(true, 0);
  });
  ServiceAttempt attempt;
  attempt.address = server.address().toString();
  attempt.method = "GET";
  attempt.path = "/";
  AttemptControl control;
  HttpResponse received;
  event::AttemptFinished finished =
      RunServiceAttempt(attempt, &control, &received);
  upstream.join();
  return finished;
}

// Guards against a truncated response that the entry takes for complete.
TEST(UpstreamCallTest, TruncatedResponsesAreNotComplete) {
  const std::string length = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nabc";
  const std::string chunked =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n";
  const std::string in_chunk =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabc";
  const std::string until_close = "HTTP/1.1 200 OK\r\n\r\nabc";
  const std::string http_1_0 = "HTTP/1.0 200 OK\r\n\r\nabc";
  const std::string close = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nabc";
  for (const std::string& response : {length, chunked, in_chunk}) {
    EXPECT_EQ(CallService(response, false).result,
              AttemptOutcome::kConnectionLost)
        << response;
  }
  // An orderly end of the connection doesn't tell a whole body from one whose
  // process was killed within it.
  for (const std::string& response : {until_close, http_1_0, close}) {
    EXPECT_EQ(CallService(response, false).result,
              AttemptOutcome::kCloseDelimited)
        << response;
  }
  for (const std::string& response :
       {length, chunked, in_chunk, until_close, http_1_0, close}) {
    EXPECT_EQ(CallService(response, true).result,
              AttemptOutcome::kConnectionLost)
        << response;
  }
}

// Guards against a rule for cut bodies that also rejects responses whose end is
// known.
TEST(UpstreamCallTest, ResponsesWithAMarkedEndAreComplete) {
  const std::string length = "Content-Length: 3\r\n\r\nabc";
  const std::string chunked =
      "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n";
  for (const std::string& response :
       {"HTTP/1.1 200 OK\r\n" + length, "HTTP/1.0 200 OK\r\n" + length,
        "HTTP/1.1 200 OK\r\nConnection: close\r\n" + length,
        "HTTP/1.1 200 OK\r\n" + chunked,
        std::string("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"),
        std::string("HTTP/1.1 204 No Content\r\n\r\n"),
        std::string("HTTP/1.1 304 Not Modified\r\n\r\n")}) {
    EXPECT_EQ(CallService(response, false).result, AttemptOutcome::kCompleted)
        << response;
  }
}

// Guards against half an error text of a killed engine that passes as whole.
TEST(UpstreamCallTest, EngineErrorWithoutALengthIsNotPassedOn) {
  int plain_responses = 0;
  EXPECT_EQ(
      CallEngine("HTTP/1.1 500 Oops\r\n\r\nhalf", 0, &plain_responses).result,
      AttemptOutcome::kCloseDelimited);
  EXPECT_EQ(plain_responses, 0);
  // The end marker of a stream shows its end without a length.
  EXPECT_EQ(
      CallEngine("HTTP/1.1 200 OK\r\n\r\ndata: [DONE]\n\n", 0, &plain_responses)
          .result,
      AttemptOutcome::kCompleted);
}

// Guards against an attempt that this node cancels within a body, and whose
// connection's end then passes as the end of the response.
TEST(UpstreamCallTest, CancelledAttemptIsNotComplete) {
  for (const char* head :
       {"HTTP/1.1 200 OK\r\n\r\nhalf",
        "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf"}) {
    SCOPED_TRACE(head);
    AttemptControl control;
    Poco::Net::ServerSocket server(Poco::Net::SocketAddress("127.0.0.1", 0));
    std::thread upstream([&] {
      Poco::Net::StreamSocket connection = server.acceptConnection();
      std::array<char, 512> buffer{};
      connection.receiveBytes(buffer.data(), static_cast<int>(buffer.size()));
      connection.sendBytes(head, static_cast<int>(std::strlen(head)));
      control.Interrupt(1);
      // Returns at the end of the connection.
      connection.receiveBytes(buffer.data(), static_cast<int>(buffer.size()));
    });
    ServiceAttempt attempt;
    attempt.address = server.address().toString();
    attempt.method = "GET";
    attempt.path = "/";
    HttpResponse received;
    EXPECT_EQ(RunServiceAttempt(attempt, &control, &received).result,
              AttemptOutcome::kInterrupted);
    upstream.join();
  }
}

}  // namespace
}  // namespace pollenledge
