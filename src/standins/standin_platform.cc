// Stand-in for the cloud API, which sends reclaim notices, and for the
// platform's instance list. Every process serves both. The tests and the demo
// start one process for each, with --behaviour {"role": "cloud"} or {"role":
// "list"}; `role` only labels the process.
//
// Cloud API:
//   GET /v1/notices?after=N    the notices after the N-th
//   POST /standin/reclaim      adds a notice: {"instance", "incarnation",
//                              "remaining_ms"}
// Instance list:
//   GET /v1/instances          the list
//   POST /standin/instances    replaces the list; the new one is served after
//                              `lag_ms` of the behaviour

#include <Poco/URI.h>

#include <chrono>
#include <deque>
#include <mutex>

#include "standin.h"

namespace {

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;
using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerResponse;
namespace standin = pollenledge::standin;

// The notices and the instance list. Thread-safe.
class Platform {
 public:
  explicit Platform(const Json& behaviour)
      : publish_delay_(behaviour.value("lag_ms", 0)) {}

  void Reclaim(const Json& notice) {
    const std::lock_guard lock(mutex_);
    notices_.push_back({Clock::now(), notice});
  }

  // The notices after the first `cursor` ones, with the time that remains now.
  Json NoticesAfter(std::size_t cursor) {
    const std::lock_guard lock(mutex_);
    Json list = Json::array();
    for (std::size_t i = cursor; i < notices_.size(); ++i) {
      Json notice = notices_[i].second;
      const auto elapsed =
          std::chrono::duration_cast<std::chrono::milliseconds>(
              Clock::now() - notices_[i].first);
      notice["id"] = i + 1;
      notice["remaining_ms"] = std::max<std::int64_t>(
          0, notice.value("remaining_ms", 0) - elapsed.count());
      list.push_back(notice);
    }
    return {{"notices", list}};
  }

  void SetInstances(const Json& instances) {
    const std::lock_guard lock(mutex_);
    pending_.push_back({Clock::now() + publish_delay_, instances});
  }

  Json Instances() {
    const std::lock_guard lock(mutex_);
    while (!pending_.empty() && pending_.front().first <= Clock::now()) {
      published_ = pending_.front().second;
      pending_.pop_front();
    }
    return {{"instances", published_}};
  }

 private:
  std::mutex mutex_;
  const std::chrono::milliseconds publish_delay_;
  std::deque<std::pair<Clock::time_point, Json>> notices_;
  std::deque<std::pair<Clock::time_point, Json>> pending_;
  Json published_ = Json::array();
};

void HandleRequest(Platform& platform, HTTPServerRequest& request,
                   HTTPServerResponse& response) {
  const Poco::URI uri(request.getURI());
  const std::string& path = uri.getPath();
  if (path == "/v1/instances") {
    standin::SendJsonResponse(response, 200, platform.Instances());
  } else if (path == "/v1/notices") {
    std::size_t after = 0;
    for (const auto& [name, value] : uri.getQueryParameters()) {
      if (name == "after") after = std::stoul(value);
    }
    standin::SendJsonResponse(response, 200, platform.NoticesAfter(after));
  } else if (path == "/standin/reclaim") {
    platform.Reclaim(standin::ReadJsonBody(request));
    standin::SendJsonResponse(response, 200, Json::object());
  } else if (path == "/standin/instances") {
    platform.SetInstances(standin::ReadJsonBody(request));
    standin::SendJsonResponse(response, 200, Json::object());
  } else {
    standin::SendJsonResponse(response, 404,
                              {{"error", "unknown path " + path}});
  }
}

}  // namespace

int main(int argc, char** argv) {
  const standin::Options options = standin::ParseOptions(
      argc, argv,
      "standin_platform: stand-in for a cloud API or an instance list.");
  Platform platform(options.behaviour);
  return standin::Serve(options, [&platform](auto& request, auto& response) {
    HandleRequest(platform, request, response);
  });
}
