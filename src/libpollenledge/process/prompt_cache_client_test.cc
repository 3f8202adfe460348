#include "pollenledge/process/prompt_cache_client.h"

#include <gtest/gtest.h>

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <vector>

namespace pollenledge {
namespace {

using boost::asio::ip::tcp;
using SystemError = boost::system::error_code;

constexpr Duration kWait = std::chrono::milliseconds(10);

/// An upstream on a loopback address that gives one response to each call.
class PromptCacheClientTest : public ::testing::Test {
 protected:
  PromptCacheClientTest()
      : acceptor_(loop_,
                  tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0)) {
    codec_.encode_cache_events_call = [](std::uint64_t since, Duration) {
      HttpHead request;
      request.target = "/events/" + std::to_string(since);
      request.fields = {{"Wait", "10"}};
      return request;
    };
    codec_.decode_cache_events =
        [](const std::string& body) -> std::optional<PromptCacheEvents> {
      if (body == "malformed") return std::nullopt;
      return PromptCacheEvents{1, body.size(), 0, {}};
    };
    codec_.decode_response = [](const HttpHead& head) {
      ResponseInfo info;
      if (const std::string* id = head.Find("Id")) info.trace_id = *id;
      return info;
    };
    address_ = "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
    Accept();
  }

  void Accept() {
    acceptor_.async_accept([this](const SystemError& error, tcp::socket peer) {
      if (error) return;
      ++connections_;
      peers_.push_back(std::make_shared<tcp::socket>(std::move(peer)));
      Serve(peers_.back());
      Accept();
    });
  }

  void Serve(const std::shared_ptr<tcp::socket>& peer) {
    peer->async_read_some(
        boost::asio::buffer(buffer_),
        [this, peer](const SystemError& error, std::size_t size) {
          if (error) return;
          request_.assign(buffer_.data(), size);
          if (!response_.empty())
            boost::asio::write(*peer, boost::asio::buffer(response_));
          Serve(peer);
        });
  }

  static std::string Response(const std::string& status,
                              const std::string& body,
                              const std::string& fields = "") {
    return "HTTP/1.1 " + status + "\r\n" + fields +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  }

  /// Makes a call and waits for its result.
  PromptCachePollResult Call(PromptCacheClient* client, std::uint64_t since) {
    std::optional<PromptCachePollResult> result;
    client->Call(address_, since, kWait,
                 [&](const PromptCachePollResult& ended) { result = ended; });
    while (!result.has_value()) loop_.run_one();
    return *result;
  }

  boost::asio::io_context loop_;
  tcp::acceptor acceptor_;
  std::vector<std::shared_ptr<tcp::socket>> peers_;
  std::array<char, 4096> buffer_{};
  ForwardingCodec codec_;
  std::string address_;
  std::string request_;
  std::string response_;
  int connections_ = 0;
};

// Guards against a new connection for each call, which upstreams charge.
TEST_F(PromptCacheClientTest, CallsShareAConnection) {
  PromptCacheClient client(loop_, codec_);
  response_ = Response("200 OK", "12345");
  for (std::uint64_t i = 0; i < 3; ++i) {
    EXPECT_EQ(Call(&client, i),
              PromptCachePollResult(PromptCacheEvents{1, 5, 0, {}}));
    EXPECT_EQ(request_, "GET /events/" + std::to_string(i) +
                            " HTTP/1.1\r\nHost: " + address_ +
                            "\r\nWait: 10\r\n\r\n");
  }
  EXPECT_EQ(connections_, 1);
}

// Guards against the response to another request, written late, that is taken
// for an upstream's cache events.
TEST_F(PromptCacheClientTest, LateResponsesToOtherRequests) {
  PromptCacheClient client(loop_, codec_);
  const PromptCachePollResult own = PromptCacheEvents{1, 5, 0, {}};
  const std::string late = Response("200 OK", "late", "Id: a\r\n");
  response_ = late + Response("200 OK", "12345");
  EXPECT_EQ(Call(&client, 0), own) << "before the poll's own response";
  response_ = Response("200 OK", "12345");
  EXPECT_EQ(Call(&client, 1), own);
  const int connections = connections_;
  // The event loop does not run between the write and the next call.
  boost::asio::write(*peers_.back(),
                     boost::asio::buffer(Response("200 OK", "unasked")));
  EXPECT_EQ(Call(&client, 2), own) << "before the poll was sent";
  EXPECT_EQ(connections_, connections + 1);
}

// Guards against a refusal, a malformed response or one without end that is
// taken for events, or that is waited for without end.
TEST_F(PromptCacheClientTest, RefusedMalformedAndMissingResponses) {
  PromptCacheClient client(loop_, codec_);
  const PromptCachePollResult refused = PromptCachePollFailure::kRefused;
  const PromptCachePollResult failed = PromptCachePollFailure::kFailed;
  response_ = Response("429 Too Many Requests", "no");
  EXPECT_EQ(Call(&client, 0), refused);
  response_ = Response("200 OK", "malformed");
  EXPECT_EQ(Call(&client, 0), failed);
  response_ = Response("404 Not Found", "x");
  EXPECT_EQ(Call(&client, 0), failed);
  response_ = Response("200 OK", std::string(1 << 20, 'x'));
  EXPECT_EQ(Call(&client, 0), failed);
  response_ = "";
  EXPECT_EQ(Call(&client, 0), failed);
  response_ = Response("200 OK", "12345");
  EXPECT_EQ(Call(&client, 0),
            PromptCachePollResult(PromptCacheEvents{1, 5, 0, {}}));
}

// Guards against a call to an earlier process at the same address that never
// ends, and against calls back after the client was stopped.
TEST_F(PromptCacheClientTest, ReplacedAndStoppedCalls) {
  PromptCacheClient client(loop_, codec_);
  std::vector<int> ended;
  client.Call(address_, 0, kWait,
              [&](const PromptCachePollResult&) { ended.push_back(0); });
  while (request_.empty()) loop_.run_one();
  client.Call(address_, 1, kWait,
              [&](const PromptCachePollResult&) { ended.push_back(1); });
  EXPECT_EQ(ended, std::vector<int>{0});
  client.Stop();
  EXPECT_EQ(client.connection_count(), 0U);
  loop_.run_for(std::chrono::milliseconds(100));
  EXPECT_EQ(ended, std::vector<int>{0});
}

}  // namespace
}  // namespace pollenledge
