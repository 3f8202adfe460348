#pragma once

#include <boost/asio/io_context.hpp>
#include <string>

#include "pollenledge/connection/async_cloud.h"
#include "pollenledge/connection/http_client.h"

namespace pollenledge {

/// `AsyncCloud` over the platform's API.
class PlatformCloud : public AsyncCloud {
 public:
  PlatformCloud(boost::asio::io_context& loop, std::string address)
      : address_(std::move(address)), client_(loop) {}

  void ReportUsage(UsageWindow window, const UsageCounts& counts,
                   const DutyStamp& stamp, Callback callback) override;
  void OrderUpstreams(const UpstreamOrder& order, const DutyStamp& stamp,
                      Callback callback) override;

 private:
  void Post(const std::string& path, const std::string& body,
            const DutyStamp& stamp, Callback callback);

  std::string address_;
  HttpClient client_;
};

}  // namespace pollenledge
