#include "standin.h"

#include <boost/program_options.hpp>
#include <iostream>

#include "pollenledge/process/command_line.h"

namespace pollenledge::standin {
namespace {

namespace po = boost::program_options;

constexpr std::int64_t kMaxBodyBytes = 16 << 20;

}  // namespace

Options ParseOptions(int argc, char** argv, const char* description) {
  Options result;
  std::string behaviour = "{}";
  po::options_description options("Options");
  options.add_options()("help", "show this help and exit")(
      "address", po::value(&result.address), "address to listen on")(
      "threads", po::value(&result.threads), "requests served concurrently")(
      "behaviour", po::value(&behaviour), "initial behaviour, JSON");
  po::variables_map parsed_options;
  try {
    po::store(po::parse_command_line(argc, argv, options), parsed_options);
    po::notify(parsed_options);
    result.behaviour = nlohmann::json::parse(behaviour);
  } catch (const std::exception& error) {
    std::cerr << argv[0] << ": " << error.what() << '\n';
    std::exit(kExitUsage);
  }
  if (parsed_options.count("help") > 0) {
    std::cout << description << "\n\n" << options;
    std::exit(kExitOk);
  }
  return result;
}

int Serve(const Options& options, BoundedHttpServer::Handler handler) {
  BlockStopSignals();
  try {
    const BoundedHttpServer server({options.address, options.threads},
                                   std::move(handler));
    std::cout << "listening " << server.port() << std::endl;
    WaitForStopSignal();
  } catch (const Poco::Exception& error) {
    std::cerr << error.displayText() << '\n';
    return kExitFailure;
  }
  return kExitOk;
}

nlohmann::json ReadJsonBody(Poco::Net::HTTPServerRequest& request) {
  const Result<std::string> body = ReadBody(request, kMaxBodyBytes);
  if (!Ok(body)) return nlohmann::json::value_t::discarded;
  return nlohmann::json::parse(Value(body), nullptr, false);
}

void SendJsonResponse(Poco::Net::HTTPServerResponse& response, int status,
                      const nlohmann::json& json) {
  SendHttpResponse(response, status, "application/json", json.dump());
}

}  // namespace pollenledge::standin
