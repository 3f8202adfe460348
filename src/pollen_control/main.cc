// The control agent of an instance: gets the tables, the platform's instance
// list and its reclaim notices for the entry, and serves the operators' admin
// API.

#include "pollenledge/process/admin_api.h"
#include "pollenledge/process/command_line.h"
#include "pollenledge/process/log.h"

namespace {

constexpr char kDescription[] =
    "pollen_control: the control agent of an instance. Watches the tables and "
    "the\nplatform for the entry on the same instance, and serves operators.";

int Run(const pollenledge::Settings& settings) {
  const pollenledge::NodeId node{settings.node, pollenledge::NewIncarnation()};
  pollenledge::StartLogging(settings.log_level, node, settings.domain);
  pollenledge::ControlService service(settings, node);
  service.Start();
  pollenledge::AdminApi api(settings, &service);
  const pollenledge::BoundedHttpServer server(
      {settings.admin_address},
      [&api](auto& request, auto& response) { api.Handle(request, response); });
  pollenledge::Log(pollenledge::LogLevel::kInfo, "started",
                   {{"admin", settings.admin_address}});
  pollenledge::WaitForStopSignal();
  pollenledge::Log(pollenledge::LogLevel::kInfo, "stopped");
  return pollenledge::kExitOk;
}

}  // namespace

int main(int argc, char** argv) {
  return pollenledge::RunDaemon(argc, argv, kDescription, Run);
}
