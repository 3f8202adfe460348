#include "platform/platform_cloud.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace pollenledge {
namespace {

using Json = nlohmann::json;

/// Timeout of a call. It is short because another node may acquire the duty
/// lease.
constexpr Duration kCallTimeout = std::chrono::milliseconds(1000);
constexpr int kStatusOk = 200;
/// The platform has no upstream of the requested kind available.
constexpr int kStatusNoCapacity = 409;

}  // namespace

void PlatformCloud::ReportUsage(UsageWindow window, const UsageCounts& counts,
                                const DutyFence& stamp, Callback callback) {
  const Json body = {{"window_id", window}, {"counts", Json(counts)}};
  Post("/usage", body.dump(), stamp, std::move(callback));
}

void PlatformCloud::RequestScale(const ScaleRequest& order,
                                 const DutyFence& stamp, Callback callback) {
  // The platform calls a failure domain "zone", the requested number of
  // upstreams "desired" and reclaimable upstreams "preemptible".
  Json body = {{"service", order.service},
               {"zone", order.domain},
               {"desired", order.count}};
  if (order.reclaimable) body["preemptible"] = true;
  Post("/scale", body.dump(), stamp, std::move(callback));
}

void PlatformCloud::Post(const std::string& path, const std::string& body,
                         const DutyFence& stamp, Callback callback) {
  HttpCall call;
  call.address = address_;
  call.method = "POST";
  call.path = path;
  call.body = body;
  call.timeout = kCallTimeout;
  call.send_before = stamp.valid_until;
  call.headers = {{"Content-Type", "application/json"},
                  {"Duty-Owner", stamp.owner},
                  {"Fencing-Token", std::to_string(stamp.token)}};
  client_.Call(call, [callback = std::move(callback)](
                         const Result<HttpResponse>& response) {
    if (!Ok(response)) {
      callback(ErrorOf(response));
      return;
    }
    const int status = Value(response).status;
    if (status == kStatusOk) {
      callback(Status());
      return;
    }
    callback(
        Error{status == kStatusNoCapacity ? ErrorCode::kConflict
                                          : ErrorCode::kUnavailable,
              "the cloud API responded with status " + std::to_string(status)});
  });
}

}  // namespace pollenledge
