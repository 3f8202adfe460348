// Stands in for a plain service whose calls may not be repeated. Counts how
// often the call of each Idempotency-Key was executed.
//
// POST /standin/behaviour takes: "delay_ms", "refuse" (answer 503 and say that
// nothing was executed), "lose_answers" (close the connection after executing
// the next n calls), "die_after_execute".

#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/StreamSocket.h>
#include <unistd.h>

#include <chrono>
#include <map>
#include <mutex>
#include <thread>

#include "standin.h"

namespace {

using Json = nlohmann::json;
using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerResponse;
namespace standin = pollenledge::standin;

class Service {
 public:
  explicit Service(const Json& behaviour) : behaviour_(behaviour) {}

  void SetBehaviour(const Json& behaviour) {
    const std::lock_guard lock(mutex_);
    behaviour_.update(behaviour);
  }
  template <typename T>
  T Setting(const char* name, T fallback) {
    const std::lock_guard lock(mutex_);
    return behaviour_.value(name, fallback);
  }
  bool LoseAnswer() {
    const std::lock_guard lock(mutex_);
    const int left = behaviour_.value("lose_answers", 0);
    if (left > 0) behaviour_["lose_answers"] = left - 1;
    return left > 0;
  }
  int Execute(const std::string& key) {
    const std::lock_guard lock(mutex_);
    ++executions_[key];
    return ++total_;
  }
  Json Executions() {
    const std::lock_guard lock(mutex_);
    return executions_;
  }

 private:
  std::mutex mutex_;
  Json behaviour_;
  std::map<std::string, int> executions_;
  int total_ = 0;
};

void Handle(Service& service, HTTPServerRequest& request,
            HTTPServerResponse& response) {
  const std::string path = request.getURI();
  if (path == "/v1/load") {
    standin::SendJson(response, 200, {{"running", 0}, {"waiting", 0}});
    return;
  }
  if (path == "/standin/executions") {
    standin::SendJson(response, 200, service.Executions());
    return;
  }
  const Json body = standin::ReadJson(request);
  if (path == "/standin/behaviour") {
    service.SetBehaviour(body);
    standin::SendJson(response, 200, Json::object());
    return;
  }
  if (service.Setting("refuse", false)) {
    response.set("X-Executed", "false");
    standin::SendJson(response, 503, {{"error", "refused"}});
    return;
  }
  const int number = service.Execute(request.get("Idempotency-Key", ""));
  if (service.Setting("die_after_execute", false)) _exit(1);
  std::this_thread::sleep_for(
      std::chrono::milliseconds(service.Setting("delay_ms", 0)));
  if (service.LoseAnswer()) {
    dynamic_cast<Poco::Net::HTTPServerRequestImpl&>(request)
        .socket()
        .shutdown();
    return;
  }
  standin::SendJson(response, 201, {{"path", path}, {"number", number}});
}

}  // namespace

int main(int argc, char** argv) {
  const standin::Options options =
      standin::ParseOptions(argc, argv, "standin_service: a plain service.");
  Service service(options.behaviour);
  return standin::Serve(options, [&service](auto& request, auto& response) {
    Handle(service, request, response);
  });
}
