#include "pollenledge/process/prompt_cache_client.h"

#include <boost/asio/steady_timer.hpp>
#include <utility>

#include "pollenledge/connection/loop_clock.h"

namespace pollenledge {
namespace {

constexpr Duration kConnectTimeout = std::chrono::milliseconds(300);
/// Time in addition to the wait after which a response counts as missing.
constexpr Duration kResponseMargin = std::chrono::milliseconds(1500);
/// A connection to an upstream that is no longer called is closed after this.
constexpr Duration kMaxIdle = std::chrono::seconds(40);
/// A longer response counts as malformed; one event takes about 80 bytes.
constexpr std::size_t kMaxResponseBytes = std::size_t{512} * 1024;
constexpr int kStatusOk = 200;
constexpr int kStatusTooMany = 429;
constexpr int kStatusUnavailable = 503;

}  // namespace

/// One call in progress.
struct PromptCacheClient::Exchange {
  Exchange(boost::asio::io_context& loop, Callback on_done)
      : timer(loop), callback(std::move(on_done)) {}

  std::shared_ptr<ClientConnection> connection;
  boost::asio::steady_timer timer;
  Callback callback;
  int status = 0;
  std::string body;
  bool is_too_long = false;
};

void PromptCacheClient::Call(const std::string& address, std::uint64_t since,
                             Duration wait, Callback callback) {
  CloseUnused(BootClockNow());
  // The call to an earlier incarnation at the same address.
  if (const auto earlier = exchanges_.find(address);
      earlier != exchanges_.end()) {
    const std::shared_ptr<Exchange> ended = earlier->second;
    ended->connection->Abort();
    Finish(address, ended, PromptCachePollFailure::kFailed);
  }
  auto exchange = std::make_shared<Exchange>(loop_, std::move(callback));
  exchange->connection = Connection(address);
  exchanges_[address] = exchange;
  ExchangeHandlers handlers;
  const std::weak_ptr<Exchange> weak = exchange;
  handlers.on_head = [this, weak](const HttpHead& head) {
    const auto current = weak.lock();
    // Calls have no id, so a response with one belongs to another request.
    if (current == nullptr || codec_.decode_response(head).names_request())
      return false;
    current->status = head.status;
    return true;
  };
  handlers.on_body = [weak](const std::string& bytes) {
    const auto current = weak.lock();
    if (current == nullptr || current->is_too_long) return;
    current->is_too_long =
        current->body.size() + bytes.size() > kMaxResponseBytes;
    if (!current->is_too_long) current->body += bytes;
  };
  handlers.on_finished = [this, address, weak](ClientExchangeResult end) {
    const auto current = weak.lock();
    if (current == nullptr) return;
    PromptCachePollResult result = PromptCachePollFailure::kFailed;
    const bool is_complete = end == ClientExchangeResult::kComplete ||
                             end == ClientExchangeResult::kCompleteAtClose;
    if (is_complete && (current->status == kStatusTooMany ||
                        current->status == kStatusUnavailable)) {
      result = PromptCachePollFailure::kRefused;
    } else if (is_complete && current->status == kStatusOk &&
               !current->is_too_long) {
      if (std::optional<PromptCacheEvents> events =
              codec_.decode_cache_events(current->body))
        result = std::move(*events);
    }
    Finish(address, current, result);
  };
  exchange->timer.expires_after(wait + kResponseMargin);
  exchange->timer.async_wait(
      [this, address, weak](const boost::system::error_code& error) {
        const auto current = weak.lock();
        if (error || current == nullptr) return;
        current->connection->Abort();
        Finish(address, current, PromptCachePollFailure::kFailed);
      });
  const HttpHead request = codec_.encode_cache_events_call(since, wait);
  std::string text =
      "GET " + request.target + " HTTP/1.1\r\nHost: " + address + "\r\n";
  for (const HttpField& field : request.fields)
    text += field.name + ": " + field.value + "\r\n";
  exchange->connection->Start(text + "\r\n", "GET", kConnectTimeout,
                              std::move(handlers));
}

void PromptCacheClient::Stop() {
  for (const auto& [address, exchange] : exchanges_) {
    exchange->timer.cancel();
    exchange->connection->Abort();
  }
  exchanges_.clear();
  for (const auto& [address, connection] : connections_) connection->Abort();
  connections_.clear();
}

std::shared_ptr<ClientConnection> PromptCacheClient::Connection(
    const std::string& address) {
  std::shared_ptr<ClientConnection>& connection = connections_[address];
  // What was received before the call is sent can't be the response to it.
  const bool is_usable = connection != nullptr && connection->reusable() &&
                         !connection->HasUnhandledInput();
  if (!is_usable) {
    if (connection != nullptr) connection->Abort();
    connection = std::make_shared<ClientConnection>(loop_, address);
  }
  return connection;
}

void PromptCacheClient::CloseUnused(TimePoint now) {
  std::erase_if(connections_, [&](const auto& entry) {
    if (exchanges_.count(entry.first) > 0) return false;
    const bool is_unused = !entry.second->reusable() ||
                           now - entry.second->idle_since() > kMaxIdle;
    if (is_unused) entry.second->Abort();
    return is_unused;
  });
}

void PromptCacheClient::Finish(const std::string& address,
                               const std::shared_ptr<Exchange>& exchange,
                               const PromptCachePollResult& result) {
  exchange->timer.cancel();
  const auto found = exchanges_.find(address);
  if (found != exchanges_.end() && found->second == exchange)
    exchanges_.erase(found);
  exchange->callback(result);
}

}  // namespace pollenledge
