#pragma once

#include <nlohmann/json.hpp>
#include <string>

#include "pollenledge/connection/http_server.h"

namespace pollenledge::standin {

/// Options that all stand-ins share, and a place for their own.
struct Options {
  std::string address = "127.0.0.1:0";
  int threads = 64;
  nlohmann::json behaviour;  ///< Initial behaviour, from --behaviour.
};

/// Parses --address, --threads and --behaviour JSON. Exits on --help or an
/// error.
Options ParseOptions(int argc, char** argv, const char* description);

/// Serves until SIGTERM or SIGINT. Prints `listening PORT` once connections
/// are taken.
int Serve(const Options& options, BoundedHttpServer::Handle handle);

/// The body as JSON; a discarded value if it is none.
nlohmann::json ReadJson(Poco::Net::HTTPServerRequest& request);

void SendJson(Poco::Net::HTTPServerResponse& response, int status,
              const nlohmann::json& json);

}  // namespace pollenledge::standin
