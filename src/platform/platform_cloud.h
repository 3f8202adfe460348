#pragma once

#include <boost/asio/io_context.hpp>
#include <string>

#include "pollenledge/connection/async_cloud.h"
#include "pollenledge/connection/http_client.h"

namespace pollenledge {

/// Implements `AsyncCloud` with the HTTP API of the platform.
///
/// Each call carries the owner and the token of its `DutyFence` as headers, so
/// that the platform can tell it from a call of an earlier lease holder. No
/// call is sent once the fence has expired, and a call times out after 1 s. Not
/// thread-safe: use it on the thread of `loop`.
class PlatformCloud : public AsyncCloud {
 public:
  /// `address` is `host:port` of the API. `loop` must outlive this object.
  PlatformCloud(boost::asio::io_context& loop, std::string address)
      : address_(std::move(address)), client_(loop) {}

  void ReportUsage(UsageWindow window, const UsageCounts& counts,
                   const DutyFence& stamp, Callback callback) override;
  void RequestScale(const ScaleRequest& order, const DutyFence& stamp,
                    Callback callback) override;

 private:
  /// Sends `body`, a JSON document, to `path`. Any status but 200 is an error:
  /// 409 becomes `kConflict`, every other one `kUnavailable`.
  void Post(const std::string& path, const std::string& body,
            const DutyFence& stamp, Callback callback);

  std::string address_;
  HttpClient client_;
};

}  // namespace pollenledge
