#include "pollenledge/process/command_line.h"

#include <Poco/Exception.h>

#include <csignal>
#include <ctime>
#include <iostream>

namespace pollenledge {
namespace {

namespace po = boost::program_options;

sigset_t StopSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGINT);
  sigaddset(&signals, SIGTERM);
  return signals;
}

}  // namespace

const char* Version() { return "pollenledge 0.1.0"; }

DaemonCommandLineResult ParseDaemonCommandLine(int argc, char** argv,
                                               const std::string& description) {
  po::options_description options("Options");
  options.add_options()("help", "show this help and exit")(
      "version", "show the version and exit")(
      "config", po::value<std::string>(), "settings file, YAML")(
      "check", "check the settings file and exit");
  po::variables_map given;
  try {
    po::store(po::parse_command_line(argc, argv, options), given);
  } catch (const po::error& error) {
    std::cerr << argv[0] << ": " << error.what() << "; see --help\n";
    return {std::nullopt, kExitUsage};
  }
  if (given.count("help") > 0) {
    std::cout << description << "\n\n"
              << options
              << "\nExit status: 0 success, 1 failure, 2 wrong command line, "
                 "3 wrong settings.\n";
    return {std::nullopt, kExitOk};
  }
  if (given.count("version") > 0) {
    std::cout << Version() << '\n';
    return {std::nullopt, kExitOk};
  }
  if (given.count("config") == 0) {
    std::cerr << argv[0] << ": --config is missing; see --help\n";
    return {std::nullopt, kExitUsage};
  }
  SettingsResult settings = LoadSettings(given["config"].as<std::string>());
  if (const auto* problems =
          std::get_if<std::vector<FieldProblem>>(&settings)) {
    std::cerr << ToString(*problems) << '\n';
    return {std::nullopt, kExitBadSettings};
  }
  if (given.count("check") > 0) {
    std::cout << "settings are valid\n";
    return {std::nullopt, kExitOk};
  }
  return {std::get<Settings>(std::move(settings)), kExitOk};
}

int RunDaemon(int argc, char** argv, const std::string& description,
              const std::function<int(const Settings&)>& run) {
  const DaemonCommandLineResult start =
      ParseDaemonCommandLine(argc, argv, description);
  if (!start.settings.has_value()) return start.exit_status;
  BlockStopSignals();
  try {
    return run(*start.settings);
  } catch (const Poco::Exception& error) {
    std::cerr << argv[0] << ": " << error.displayText() << '\n';
  } catch (const std::exception& error) {
    std::cerr << argv[0] << ": " << error.what() << '\n';
  }
  return kExitFailure;
}

std::uint64_t NewIncarnation() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
}

void BlockStopSignals() {
  const sigset_t signals = StopSignals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
}

void WaitForStopSignal() {
  const sigset_t signals = StopSignals();
  int received = 0;
  sigwait(&signals, &received);
}

bool WaitForStopSignalFor(Duration timeout) {
  const sigset_t signals = StopSignals();
  timespec limit{};
  limit.tv_sec = timeout.count() / 1'000'000;
  limit.tv_nsec = (timeout.count() % 1'000'000) * 1000;
  return sigtimedwait(&signals, nullptr, &limit) > 0;
}

}  // namespace pollenledge
