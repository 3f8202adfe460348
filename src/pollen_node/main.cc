// The forwarding node: entry and control agent in one process, for the
// platform.

#include <malloc.h>

#include <boost/program_options.hpp>
#include <csignal>
#include <cstdlib>
#include <iostream>

#include "platform/platform_node.h"
#include "pollenledge/process/command_line.h"

namespace {

namespace po = boost::program_options;

constexpr char kDescription[] =
    "pollen_node: forwards callers' requests to upstreams on the platform.";

std::string DefaultSettingsPath() {
  const char* path = std::getenv(pollenledge::kSettingsPathVariable);
  return path == nullptr ? "" : path;
}

/// A reload that is asked for while the process starts must not end it. The
/// settings are read after this.
void IgnoreReloadUntilStarted() { std::signal(SIGHUP, SIG_IGN); }

/// Makes blocks from this size on return to the system once they are freed, so
/// that large bodies leave no gaps in the heap. Set explicitly, as the library
/// otherwise raises the size to that of the largest block freed.
void ReturnLargeBlocks() {
  constexpr int kMinLargeBlockBytes = 128 * 1024;
  mallopt(M_MMAP_THRESHOLD, kMinLargeBlockBytes);
  mallopt(M_TRIM_THRESHOLD, 8 * kMinLargeBlockBytes);
}

int Run(const po::variables_map& arguments,
        const po::options_description& options) {
  if (arguments.count("help") > 0) {
    std::cout << kDescription << "\n\n"
              << options
              << "\nExit status: 0 success, 1 failure, 2 wrong command line, "
                 "3 wrong settings.\n";
    return pollenledge::kExitOk;
  }
  if (arguments.count("version") > 0) {
    std::cout << pollenledge::Version() << '\n';
    return pollenledge::kExitOk;
  }
  const auto path = arguments["config"].as<std::string>();
  if (path.empty()) {
    std::cerr << "pollen_node: --config is missing and "
              << pollenledge::kSettingsPathVariable
              << " is not set; see --help\n";
    return pollenledge::kExitUsage;
  }
  const auto settings = pollenledge::LoadNodeSettings(path);
  if (const auto* problems =
          std::get_if<std::vector<pollenledge::FieldProblem>>(&settings)) {
    std::cerr << pollenledge::ToString(*problems) << '\n';
    return pollenledge::kExitBadSettings;
  }
  if (arguments.count("check") > 0) {
    std::cout << "settings are valid\n";
    return pollenledge::kExitOk;
  }
  std::signal(SIGPIPE, SIG_IGN);
  const int code = pollenledge::RunPlatformNode(
      std::get<pollenledge::NodeSettings>(settings), path);
  // Skips the destructors of static objects: they would wait for the log
  // library's threads, and the instance accepts no requests until the process
  // has ended. The log is flushed, and nothing else has to be saved.
  std::quick_exit(code);
}

}  // namespace

int main(int argc, char** argv) {
  IgnoreReloadUntilStarted();
  ReturnLargeBlocks();
  po::options_description options("Options");
  options.add_options()("help", "show this help and exit")(
      "version", "show the version and exit")(
      "config", po::value<std::string>()->default_value(DefaultSettingsPath()),
      "settings file, YAML; default: the path in the environment variable "
      "that the platform sets")("check", "check the settings file and exit");
  po::variables_map arguments;
  try {
    po::store(po::parse_command_line(argc, argv, options), arguments);
    return Run(arguments, options);
  } catch (const po::error& error) {
    std::cerr << "pollen_node: " << error.what() << "; see --help\n";
    return pollenledge::kExitUsage;
  } catch (const std::exception& error) {
    std::cerr << "pollen_node: " << error.what() << '\n';
    return pollenledge::kExitFailure;
  }
}
