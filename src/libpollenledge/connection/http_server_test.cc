#include "pollenledge/connection/http_server.h"

#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <gtest/gtest.h>

#include <array>
#include <chrono>
#include <string>
#include <thread>
#include <vector>

namespace pollenledge {
namespace {

using Poco::Net::StreamSocket;

constexpr int kThreads = 2;
constexpr Duration kTimeout = std::chrono::milliseconds(200);
/// How long a request occupies a thread: several timeouts and sweeps.
constexpr Duration kWork = std::chrono::milliseconds(1000);

class BoundedHttpServerTest : public ::testing::Test {
 protected:
  StreamSocket Connect() const {
    StreamSocket socket(Poco::Net::SocketAddress("127.0.0.1", Port()));
    socket.setReceiveTimeout(Poco::Timespan(9, 0));
    return socket;
  }

  static void Send(StreamSocket* socket, const std::string& bytes) {
    socket->sendBytes(bytes.data(), static_cast<int>(bytes.size()));
  }

  StreamSocket ConnectAndSend(const std::string& bytes) const {
    StreamSocket socket = Connect();
    Send(&socket, bytes);
    return socket;
  }

  /// Occupies all threads of the server for `kWork`.
  void OccupyThreads() {
    for (int i = 0; i < kThreads; ++i)
      busy_.push_back(ConnectAndSend(kRequest));
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
  }

  /// Returns true if a response arrives on the connection before its end.
  static bool IsAnswered(StreamSocket* socket) {
    std::array<char, 1024> buffer{};
    try {
      const int size =
          socket->receiveBytes(buffer.data(), static_cast<int>(buffer.size()));
      return std::string(buffer.data(), static_cast<std::size_t>(size))
                 .rfind("HTTP/1.1 200", 0) == 0;
    } catch (const Poco::Exception&) {
      return false;
    }
  }

  Poco::UInt16 Port() const {
    return static_cast<Poco::UInt16>(server_.port());
  }

  const std::string kRequest =
      "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";

  std::vector<StreamSocket> busy_;
  BoundedHttpServer server_{{"127.0.0.1:0", kThreads, kTimeout},
                            [](Poco::Net::HTTPServerRequest&,
                               Poco::Net::HTTPServerResponse& response) {
                              std::this_thread::sleep_for(kWork);
                              SendHttpResponse(response, 200, "text/plain",
                                               "done");
                            }};
};

// Guards against whole requests that end without an answer because they wait
// for a free thread for longer than the timeout (LOST).
TEST_F(BoundedHttpServerTest, RequestsThatWaitForAThreadAreAnswered) {
  constexpr int kRequests = 6;
  OccupyThreads();
  std::vector<StreamSocket> callers;
  callers.reserve(kRequests);
  for (int i = 0; i < kRequests; ++i)
    callers.push_back(ConnectAndSend(kRequest));
  int answered = 0;
  for (StreamSocket& caller : callers) answered += IsAnswered(&caller) ? 1 : 0;
  EXPECT_EQ(answered, kRequests);
}

// Guards against a caller that holds a thread by sending a byte at a time,
// whether or not it waited for the thread before.
TEST_F(BoundedHttpServerTest, ACallerThatSendsByteByByteIsClosed) {
  constexpr auto kByteInterval = std::chrono::milliseconds(20);
  OccupyThreads();
  StreamSocket caller = ConnectAndSend("GET / HTTP/1.1\r\nX: ");
  const auto start = std::chrono::steady_clock::now();
  const auto end = start + std::chrono::seconds(9);
  bool is_closed = false;
  while (!is_closed && std::chrono::steady_clock::now() < end) {
    try {
      Send(&caller, "x");
      std::this_thread::sleep_for(kByteInterval);
    } catch (const Poco::Exception&) {
      is_closed = true;
    }
  }
  EXPECT_TRUE(is_closed);
  // Until it is read, it may be a whole request.
  EXPECT_GE(std::chrono::steady_clock::now() - start, kWork / 2);
}

/// A server whose timeout is far longer than a test, and that reads bodies.
class StalledBodies : public ::testing::Test {
 protected:
  static constexpr int kLength = 100;

  /// Sends a head with that length and `sent` bytes of the body.
  StreamSocket ConnectAndSend(int sent) const {
    StreamSocket socket(Poco::Net::SocketAddress(
        "127.0.0.1", static_cast<Poco::UInt16>(server_.port())));
    socket.setReceiveTimeout(Poco::Timespan(20, 0));
    SendText(&socket, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: " +
                          std::to_string(kLength) + "\r\n\r\n" +
                          std::string(static_cast<std::size_t>(sent), 'x'));
    return socket;
  }

  static void SendText(StreamSocket* socket, const std::string& text) {
    socket->sendBytes(text.data(), static_cast<int>(text.size()));
  }

  /// Returns the status of the response; 0 if there is none.
  static int ReceiveStatus(StreamSocket* socket) {
    constexpr std::size_t kStatusAt = 9;
    std::array<char, 1024> buffer{};
    try {
      const int size =
          socket->receiveBytes(buffer.data(), static_cast<int>(buffer.size()));
      const std::string text(buffer.data(), static_cast<std::size_t>(size));
      return text.size() < kStatusAt + 3 ? 0
                                         : std::stoi(text.substr(kStatusAt, 3));
    } catch (const Poco::Exception&) {
      return 0;
    }
  }

  BoundedHttpServer server_{
      {"127.0.0.1:0", kThreads, std::chrono::minutes(10)},
      [](Poco::Net::HTTPServerRequest& request,
         Poco::Net::HTTPServerResponse& response) {
        const Result<std::string> body = ReadBody(request, kLength);
        SendHttpResponse(response, Ok(body) ? 200 : 408, "text/plain", "done");
      }};
};

// Guards against callers that hold all threads by bodies which stop short of
// their end, so that no other caller is served (issue 62).
TEST_F(StalledBodies, GiveWayToCallersThatWait) {
  constexpr int kCrowd = 2 * kThreads;
  std::vector<StreamSocket> crowd;
  crowd.reserve(kCrowd);
  for (int i = 0; i < kCrowd; ++i) crowd.push_back(ConnectAndSend(kLength - 1));
  StreamSocket ordinary = ConnectAndSend(kLength);
  EXPECT_EQ(ReceiveStatus(&ordinary), 200);
  EXPECT_EQ(ReceiveStatus(&crowd.front()), 408);
}

// Guards against a request that is run with a part of its body, because its
// caller went away in the middle of a chunk.
TEST_F(StalledBodies, AChunkedBodyThatIsCutIsNotWhole) {
  for (const char* part : {"5\r\nab", "5\r\nabcde\r\n", "5\r\nabcde\r\n0"}) {
    SCOPED_TRACE(part);
    StreamSocket caller(Poco::Net::SocketAddress(
        "127.0.0.1", static_cast<Poco::UInt16>(server_.port())));
    caller.setReceiveTimeout(Poco::Timespan(20, 0));
    SendText(&caller,
             std::string("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: "
                         "chunked\r\n\r\n") +
                 part);
    caller.shutdownSend();
    EXPECT_NE(ReceiveStatus(&caller), 200);
  }
}

// Guards against a slow caller that is cut off though nobody needs its thread.
TEST_F(StalledBodies, GoOnWhileNobodyWaits) {
  StreamSocket caller = ConnectAndSend(kLength - 1);
  std::this_thread::sleep_for(std::chrono::milliseconds(1500));
  SendText(&caller, "x");
  EXPECT_EQ(ReceiveStatus(&caller), 200);
}

// Guards against connections on which nothing is ever sent.
TEST_F(BoundedHttpServerTest, ASilentConnectionIsClosed) {
  StreamSocket caller = Connect();
  const auto start = std::chrono::steady_clock::now();
  EXPECT_FALSE(IsAnswered(&caller));
  EXPECT_LT(std::chrono::steady_clock::now() - start, std::chrono::seconds(5));
}

}  // namespace
}  // namespace pollenledge
