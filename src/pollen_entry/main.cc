// The entry daemon: accepts callers' requests and sends them to upstreams.

#include "pollenledge/process/caller_api.h"
#include "pollenledge/process/command_line.h"
#include "pollenledge/process/log.h"

namespace {

using pollenledge::Duration;

constexpr char kDescription[] =
    "pollen_entry: accepts callers' requests and sends them to upstreams.";
constexpr Duration kDrainPollInterval = std::chrono::milliseconds(50);

int Run(const pollenledge::Settings& settings) {
  const pollenledge::NodeId node{settings.node, pollenledge::NewIncarnation()};
  pollenledge::StartLogging(settings.log_level, node, settings.domain);
  pollenledge::EntryService service(settings, node);
  service.Start();
  pollenledge::CallerApi api(settings, &service);
  const pollenledge::BoundedHttpServer server(
      {settings.caller_address, settings.caller_threads,
       settings.caller_timeout},
      [&api](auto& request, auto& response) { api.Handle(request, response); });
  pollenledge::Log(
      pollenledge::LogLevel::kInfo, "started",
      {{"callers", settings.caller_address}, {"peers", settings.peer_address}});
  bool draining = false;
  while (!service.drained()) {
    if (!pollenledge::WaitForStopSignalFor(kDrainPollInterval)) continue;
    if (draining) break;  // A second signal ends the wait for the drain.
    draining = true;
    pollenledge::Log(pollenledge::LogLevel::kInfo, "draining");
    service.Drain(std::nullopt);
  }
  pollenledge::Log(pollenledge::LogLevel::kInfo, "stopped");
  return pollenledge::kExitOk;
}

}  // namespace

int main(int argc, char** argv) {
  return pollenledge::RunDaemon(argc, argv, kDescription, Run);
}
