// Stand-in for a plain service whose calls must not be retried. Counts how
// often the call with each Idempotency-Key was executed.
//
// --behaviour and POST /standin/behaviour accept these keys:
//   delay_ms           time between the execution of a call and its response
//   refuse             respond with status 503 and `X-Executed: false` without
//                      executing the call
//   lose_answers       close the connection instead of responding, for the next
//                      n executed calls
//   die_after_execute  exit after executing a call

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

// The execution counts and the behaviour. Thread-safe.
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
  // True if the response to the present call must be lost.
  bool ConsumeLostResponse() {
    const std::lock_guard lock(mutex_);
    const int remaining = behaviour_.value("lose_answers", 0);
    if (remaining > 0) behaviour_["lose_answers"] = remaining - 1;
    return remaining > 0;
  }
  // Counts one execution. Returns the number of executions with any key.
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

void HandleRequest(Service& service, HTTPServerRequest& request,
                   HTTPServerResponse& response) {
  const std::string path = request.getURI();
  if (path == "/v1/load") {
    standin::SendJsonResponse(response, 200, {{"running", 0}, {"waiting", 0}});
    return;
  }
  if (path == "/standin/executions") {
    standin::SendJsonResponse(response, 200, service.Executions());
    return;
  }
  const Json body = standin::ReadJsonBody(request);
  if (path == "/standin/behaviour") {
    service.SetBehaviour(body);
    standin::SendJsonResponse(response, 200, Json::object());
    return;
  }
  if (service.Setting("refuse", false)) {
    response.set("X-Executed", "false");
    standin::SendJsonResponse(response, 503, {{"error", "refused"}});
    return;
  }
  const int number = service.Execute(request.get("Idempotency-Key", ""));
  if (service.Setting("die_after_execute", false)) _exit(1);
  std::this_thread::sleep_for(
      std::chrono::milliseconds(service.Setting("delay_ms", 0)));
  if (service.ConsumeLostResponse()) {
    dynamic_cast<Poco::Net::HTTPServerRequestImpl&>(request)
        .socket()
        .shutdown();
    return;
  }
  standin::SendJsonResponse(response, 201,
                            {{"path", path}, {"number", number}});
}

}  // namespace

int main(int argc, char** argv) {
  const standin::Options options = standin::ParseOptions(
      argc, argv, "standin_service: stand-in for a plain service.");
  Service service(options.behaviour);
  return standin::Serve(options, [&service](auto& request, auto& response) {
    HandleRequest(service, request, response);
  });
}
