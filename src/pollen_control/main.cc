// The control agent: tables, the platform's list and notices, and operators.

#include <Poco/Exception.h>

#include <iostream>

#include "pollenledge/process/admin_api.h"
#include "pollenledge/process/command_line.h"
#include "pollenledge/process/log.h"

namespace {

constexpr char kDescription[] =
    "pollen_control: the control agent of an instance. Watches the tables and "
    "the\nplatform for the entry beside it, and serves operators.";

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
  const pollenledge::DaemonStart start =
      pollenledge::ParseDaemonCommandLine(argc, argv, kDescription);
  if (!start.settings.has_value()) return start.exit_status;
  pollenledge::BlockStopSignals();
  try {
    return Run(*start.settings);
  } catch (const Poco::Exception& error) {
    std::cerr << argv[0] << ": " << error.displayText() << '\n';
  } catch (const std::exception& error) {
    std::cerr << argv[0] << ": " << error.what() << '\n';
  }
  return pollenledge::kExitFailure;
}
