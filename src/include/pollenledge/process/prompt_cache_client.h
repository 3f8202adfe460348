#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "pollenledge/connection/client_connection.h"
#include "pollenledge/connection/forwarding_codec.h"
#include "pollenledge/connection/prompt_cache_events.h"
#include "pollenledge/time.h"

namespace pollenledge {

/// Calls upstreams for their cache events, on connections of its own, which it
/// keeps open from call to call: one for each upstream. Requests use none of
/// them.
///
/// Not thread-safe; everything runs on the loop's thread. Must outlive the
/// calls that are in progress, or be stopped before.
class PromptCacheClient {
 public:
  using Callback = std::function<void(const PromptCachePollResult&)>;

  /// `codec` must outlive the client.
  PromptCacheClient(boost::asio::io_context& loop, const ForwardingCodec& codec)
      : loop_(loop), codec_(codec) {}
  ~PromptCacheClient() { Stop(); }
  PromptCacheClient(const PromptCacheClient&) = delete;
  PromptCacheClient& operator=(const PromptCacheClient&) = delete;

  /// Asks the upstream at `address` for the events from number `since` on and
  /// to wait for `wait` if there are none. Calls `callback` once, unless the
  /// client is stopped before. Ends an earlier call to the address as failed.
  void Call(const std::string& address, std::uint64_t since, Duration wait,
            Callback callback);
  /// Ends all calls without calling back and closes the connections.
  void Stop();

  std::size_t connection_count() const { return connections_.size(); }

 private:
  struct Exchange;

  /// Returns the connection to use, a new one if there is none.
  std::shared_ptr<ClientConnection> Connection(const std::string& address);
  void CloseUnused(TimePoint now);
  void Finish(const std::string& address,
              const std::shared_ptr<Exchange>& exchange,
              const PromptCachePollResult& result);

  boost::asio::io_context& loop_;
  const ForwardingCodec& codec_;
  std::map<std::string, std::shared_ptr<ClientConnection>> connections_;
  std::map<std::string, std::shared_ptr<Exchange>> exchanges_;
};

}  // namespace pollenledge
