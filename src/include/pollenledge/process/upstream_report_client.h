#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>

#include "pollenledge/connection/client_connection.h"
#include "pollenledge/connection/forwarding_codec.h"
#include "pollenledge/time.h"

namespace pollenledge {

/// How a call for an upstream's report about itself ended.
struct UpstreamReport {
  ClientExchangeResult end = ClientExchangeResult::kNotSent;
  int status = 0;              ///< 0 if there was no response.
  bool names_request = false;  ///< The response has the id of a request.
  /// That the report states; empty if it states none or is not whole.
  std::optional<std::uint64_t> incarnation;

  friend bool operator==(const UpstreamReport&,
                         const UpstreamReport&) = default;
};

/// Returns true if the response is the upstream's own whole report about
/// itself, or says that it has none. Some services have no reports, or none
/// that states an incarnation.
bool IsReport(const UpstreamReport& report);

/// Calls upstreams for their reports about themselves.
///
/// A call has no id by which its response could be told from a late copy of
/// another, so it is made only on connections that have carried nothing. Not
/// thread-safe; everything runs on the loop's thread.
class UpstreamReportClient {
 public:
  using Callback = std::function<void(const UpstreamReport&)>;

  /// `codec` must outlive the client.
  UpstreamReportClient(boost::asio::io_context& loop,
                       const ForwardingCodec& codec);
  /// Ends all calls without calling back.
  ~UpstreamReportClient();
  UpstreamReportClient(const UpstreamReportClient&) = delete;
  UpstreamReportClient& operator=(const UpstreamReportClient&) = delete;

  /// Makes one call on `connection`, which must have carried nothing, and calls
  /// `callback` once, after a bounded time. The connection may be used for a
  /// request afterwards if it is reusable then. If its owner aborts it before,
  /// the call ends at the latest when its time is over.
  void Call(const std::shared_ptr<ClientConnection>& connection,
            Callback callback);

 private:
  struct PendingCall;

  ExchangeHandlers HandlersOf(const std::shared_ptr<PendingCall>& call);
  /// Ends `call` after `timeout`, unless its response is being read then or the
  /// event loop was late.
  void ArmTimeout(const std::shared_ptr<PendingCall>& call, Duration timeout);
  /// Ends `call` without waiting for the rest of the response.
  void Abandon(const std::shared_ptr<PendingCall>& call,
               ClientExchangeResult end);
  void Finish(const std::shared_ptr<PendingCall>& call,
              ClientExchangeResult end);

  boost::asio::io_context& loop_;
  const ForwardingCodec& codec_;
  std::set<std::shared_ptr<PendingCall>> calls_;
};

}  // namespace pollenledge
