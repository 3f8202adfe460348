#pragma once

#include <nlohmann/json.hpp>
#include <string>

#include "pollenledge/connection/http_server.h"

namespace pollenledge::standin {

/// Command-line options common to all stand-ins.
///
/// A stand-in is a small program that replaces an external system in tests and
/// in the demo.
struct Options {
  std::string address = "127.0.0.1:0";  ///< Port 0: any free port.
  int threads = 64;          ///< Requests that are served concurrently.
  nlohmann::json behaviour;  ///< Initial behaviour; each stand-in has its keys.
};

/// Parses --address, --threads and --behaviour JSON. Exits on --help or an
/// error.
Options ParseOptions(int argc, char** argv, const char* description);

/// Serves until SIGTERM or SIGINT and returns the exit status. Prints
/// `listening PORT` to standard output once connections are accepted.
int Serve(const Options& options, BoundedHttpServer::Handler handler);

/// Returns the body as JSON, or a discarded value if it is no valid JSON or
/// larger than 16 MiB.
nlohmann::json ReadJsonBody(Poco::Net::HTTPServerRequest& request);

/// Sends a complete JSON response.
void SendJsonResponse(Poco::Net::HTTPServerResponse& response, int status,
                      const nlohmann::json& json);

}  // namespace pollenledge::standin
