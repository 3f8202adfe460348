// The operators' command-line client.

#include <algorithm>
#include <boost/program_options.hpp>
#include <cstdlib>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <random>
#include <sstream>

#include "pollenledge/process/admin_client.h"
#include "pollenledge/process/command_line.h"

namespace {

namespace po = boost::program_options;
using nlohmann::json;
using pollenledge::AdminClient;
using pollenledge::ErrorOf;
using pollenledge::Ok;
using pollenledge::Result;
using pollenledge::Value;

constexpr char kUsage[] =
    "pollenctl COMMAND [OPTION ...]\n\n"
    "Commands:\n"
    "  check      check routes and pools files; needs no node\n"
    "  apply      replace the tables in force by these files\n"
    "  show       print the tables in force\n"
    "  diff       what apply would change\n"
    "  status     every node: domain, incarnation, version, load\n"
    "  drain      tell the node at --admin to finish and stop\n"
    "  timeline   events of all nodes, in causal order\n"
    "  cost       the bill and who it was spent for\n";

struct Arguments {
  std::string command;
  std::string admin;
  std::string token;
  std::string routes;
  std::string pools;
  std::string author;
  std::string edit_id;
  std::string format;
  std::string request;
  std::string output;
  std::uint64_t base = 0;
  bool base_given = false;
  std::int64_t remaining_ms = -1;

  bool as_json() const { return format == "json"; }
};

int Fail(const std::string& message, int status = pollenledge::kExitFailure) {
  std::cerr << "pollenctl: " << message << '\n';
  return status;
}

std::string NewEditId() {
  std::random_device random;
  std::ostringstream id;
  id << std::hex << std::setfill('0');
  for (int i = 0; i < 4; ++i) id << std::setw(8) << random();
  return id.str();
}

Result<pollenledge::TableTexts> ReadTables(const Arguments& arguments) {
  pollenledge::TableTexts texts;
  for (auto [path, text] : {std::pair(&arguments.routes, &texts.routes),
                            std::pair(&arguments.pools, &texts.pools)}) {
    Result<std::string> read = pollenledge::ReadFile(*path);
    if (!Ok(read)) return ErrorOf(read);
    *text = std::move(Value(read));
  }
  return texts;
}

Result<pollenledge::VersionedTexts> TablesInForce(const AdminClient& client) {
  const Result<json> answer = client.Get("/admin/v1/tables");
  if (!Ok(answer)) return ErrorOf(answer);
  return pollenledge::VersionedTexts{
      Value(answer).value("version", std::uint64_t{0}),
      {Value(answer).value("routes", ""), Value(answer).value("pools", "")}};
}

int ReportProblems(const std::vector<pollenledge::FieldProblem>& problems) {
  std::cerr << pollenledge::ToString(problems) << '\n';
  return pollenledge::kExitBadSettings;
}

int Check(const Arguments& arguments) {
  const auto texts = ReadTables(arguments);
  if (!Ok(texts)) return Fail(ErrorOf(texts).message);
  const auto checked = pollenledge::ParseTables(Value(texts), 1);
  if (const auto* problems =
          std::get_if<std::vector<pollenledge::FieldProblem>>(&checked)) {
    return ReportProblems(*problems);
  }
  std::cout << "tables are valid\n";
  return pollenledge::kExitOk;
}

// Prints what differs between the tables in force and `after`.
void PrintDiff(const pollenledge::VersionedTexts& in_force,
               const pollenledge::Tables& after) {
  pollenledge::Tables before;
  if (in_force.version > 0) {
    auto parsed = pollenledge::ParseTables(in_force.texts, in_force.version);
    if (auto* tables = std::get_if<pollenledge::Tables>(&parsed)) {
      before = std::move(*tables);
    }
  }
  std::cout << "against version " << in_force.version << ":\n";
  for (const pollenledge::TableChange& change :
       pollenledge::Diff(before, after)) {
    std::cout << "  " << change.row << ' ' << change.kind << '\n';
  }
}

int Apply(const Arguments& arguments, const AdminClient& client,
          bool only_diff) {
  const auto texts = ReadTables(arguments);
  if (!Ok(texts)) return Fail(ErrorOf(texts).message);
  const auto checked = pollenledge::ParseTables(Value(texts), 1);
  if (const auto* problems =
          std::get_if<std::vector<pollenledge::FieldProblem>>(&checked)) {
    return ReportProblems(*problems);
  }
  const auto in_force = TablesInForce(client);
  if (!Ok(in_force)) return Fail(ErrorOf(in_force).message);
  if (!arguments.as_json()) {
    PrintDiff(Value(in_force), std::get<pollenledge::Tables>(checked));
  }
  if (only_diff) return pollenledge::kExitOk;
  const std::string edit_id =
      arguments.edit_id.empty() ? NewEditId() : arguments.edit_id;
  const std::uint64_t base =
      arguments.base_given ? arguments.base : Value(in_force).version;
  int status = 0;
  const auto answer = client.Post("/admin/v1/apply",
                                  {{"routes", Value(texts).routes},
                                   {"pools", Value(texts).pools},
                                   {"base_version", base},
                                   {"author", arguments.author},
                                   {"edit_id", edit_id}},
                                  &status);
  if (!Ok(answer)) {
    return Fail(ErrorOf(answer).message + "; whether edit " + edit_id +
                    " took effect is not known: apply it again with "
                    "--edit-id " +
                    edit_id,
                pollenledge::kExitUnknown);
  }
  const json& result = Value(answer);
  if (arguments.as_json()) std::cout << result.dump() << '\n';
  const std::string kind = result.value("result", "");
  if (kind == "accepted") {
    if (!arguments.as_json()) {
      std::cout << "accepted as version " << result.value("version", 0) << '\n';
    }
    return pollenledge::kExitOk;
  }
  if (kind == "conflict") {
    return Fail("not applied: version " +
                    std::to_string(result.value("current_version", 0)) +
                    " by \"" + result.value("author", "") +
                    "\" is in force, not " + std::to_string(base) +
                    "; look at it with show and apply again",
                pollenledge::kExitConflict);
  }
  if (kind == "unknown") {
    return Fail(
        "the key-value service did not say whether the edit took "
        "effect; apply it again with --edit-id " +
            edit_id,
        pollenledge::kExitUnknown);
  }
  return Fail("not applied, nothing was changed: " +
              result.value("why", result.value("detail", result.dump())));
}

int Show(const Arguments& arguments, const AdminClient& client) {
  const auto tables = TablesInForce(client);
  if (!Ok(tables)) return Fail(ErrorOf(tables).message);
  const pollenledge::VersionedTexts& texts = Value(tables);
  if (arguments.as_json()) {
    std::cout << json{{"version", texts.version},
                      {"routes", texts.texts.routes},
                      {"pools", texts.texts.pools}}
                     .dump()
              << '\n';
    return pollenledge::kExitOk;
  }
  std::cout << "# version " << texts.version << "\n# routes.yaml\n"
            << texts.texts.routes << "# pools.yaml\n"
            << texts.texts.pools;
  return pollenledge::kExitOk;
}

int ShowStatus(const Arguments& arguments, const AdminClient& client) {
  const std::vector<pollenledge::NodeStatus> nodes = client.AllNodes();
  if (arguments.as_json()) {
    json list = json::array();
    for (const auto& node : nodes) {
      list.push_back({{"admin_address", node.admin_address},
                      {"reached", node.reached},
                      {"status", node.status}});
    }
    std::cout << list.dump() << '\n';
  } else {
    std::cout << std::left << std::setw(16) << "node" << std::setw(14)
              << "domain" << std::setw(16) << "incarnation" << std::setw(9)
              << "version" << std::setw(8) << "active"
              << "state\n";
    for (const auto& node : nodes) {
      const json& status = node.status;
      const bool draining =
          status.is_object() && status.value("draining", false);
      std::cout << std::setw(16)
                << (status.is_object() ? status.value("node", "?")
                                       : node.admin_address)
                << std::setw(14)
                << (status.is_object() ? status.value("domain", "?") : "?")
                << std::setw(16)
                << (status.is_object()
                        ? status.value("incarnation", std::uint64_t{0})
                        : 0)
                << std::setw(9)
                << (status.is_object()
                        ? status.value("tables_version", std::uint64_t{0})
                        : 0)
                << std::setw(8)
                << (status.is_object() ? status.value("active_requests", 0) : 0)
                << (!node.reached ? "not reached"
                    : draining    ? "draining"
                                  : "serving")
                << '\n';
    }
  }
  const bool all_reached =
      std::all_of(nodes.begin(), nodes.end(),
                  [](const auto& node) { return node.reached; });
  return all_reached ? pollenledge::kExitOk : pollenledge::kExitFailure;
}

int Drain(const Arguments& arguments, const AdminClient& client) {
  json body = json::object();
  if (arguments.remaining_ms >= 0) {
    body["remaining_ms"] = arguments.remaining_ms;
  }
  int status = 0;
  const auto answer = client.Post("/admin/v1/drain", body, &status);
  if (!Ok(answer)) return Fail(ErrorOf(answer).message);
  if (status != 200) return Fail(Value(answer).value("detail", "failed"));
  std::cout << "draining\n";
  return pollenledge::kExitOk;
}

int ShowTimeLine(const Arguments& arguments, const AdminClient& client) {
  std::vector<pollenledge::TimeLineEvent> events = client.TimeLineOfAll();
  if (!arguments.request.empty()) {
    const auto id = pollenledge::ParseRequestId(arguments.request);
    if (!Ok(id)) return Fail(ErrorOf(id).message, pollenledge::kExitUsage);
    std::erase_if(
        events, [&](const auto& event) { return event.request != Value(id); });
  }
  const std::string text = arguments.as_json()
                               ? pollenledge::ToChromeTrace(events)
                               : pollenledge::ToText(events);
  if (arguments.output.empty()) {
    std::cout << text;
    return pollenledge::kExitOk;
  }
  std::ofstream file(arguments.output);
  file << text;
  if (!file.good()) return Fail("cannot write \"" + arguments.output + "\"");
  return pollenledge::kExitOk;
}

std::string Money(std::int64_t micros) {
  std::ostringstream out;
  out << std::fixed << std::setprecision(6)
      << static_cast<double>(micros) / 1e6;
  return out.str();
}

int ShowCost(const Arguments& arguments, const AdminClient& client) {
  std::int64_t total = 0;
  const auto lines = client.CostOfAll(&total);
  if (!Ok(lines)) return Fail(ErrorOf(lines).message);
  if (arguments.as_json()) {
    json list = json::array();
    for (const auto& line : Value(lines)) {
      list.push_back({{"what", line.what},
                      {"customer", line.key.customer},
                      {"route", line.key.route},
                      {"rank", pollenledge::ToString(line.key.rank)},
                      {"domain", line.key.domain},
                      {"class", line.key.machine_class},
                      {"micros", line.micros}});
    }
    std::cout << json{{"total_micros", total}, {"lines", list}}.dump() << '\n';
    return pollenledge::kExitOk;
  }
  for (const auto& line : Value(lines)) {
    std::cout << std::left << std::setw(15) << line.what << std::setw(22)
              << line.key.customer << std::setw(14) << line.key.route
              << std::setw(12) << line.key.domain << std::setw(28)
              << line.key.machine_class << std::right << std::setw(12)
              << Money(line.micros) << '\n';
  }
  std::cout << "total " << Money(total) << '\n';
  return pollenledge::kExitOk;
}

po::options_description MakeOptions(Arguments* arguments) {
  po::options_description options("Options");
  options.add_options()("help", "show this help and exit")(
      "version", "show the version and exit")(
      "admin", po::value(&arguments->admin)->default_value("127.0.0.1:7003"),
      "admin address of any node")(
      "token-file", po::value<std::string>(),
      "file with the operators' token; default: $POLLEN_ADMIN_TOKEN")(
      "routes", po::value(&arguments->routes)->default_value("routes.yaml"),
      "routes table")(
      "pools", po::value(&arguments->pools)->default_value("pools.yaml"),
      "pools table")("base", po::value(&arguments->base),
                     "version the edit is based on; default: the one in force")(
      "author", po::value(&arguments->author)->default_value(""),
      "who makes the edit")("edit-id", po::value(&arguments->edit_id),
                            "id of an edit that is applied again")(
      "format", po::value(&arguments->format)->default_value("text"),
      "text or json")("request", po::value(&arguments->request),
                      "timeline: only this request's events")(
      "output", po::value(&arguments->output), "timeline: file to write")(
      "remaining-ms", po::value(&arguments->remaining_ms),
      "drain: time until the instance is taken away")(
      "command", po::value(&arguments->command), "the command");
  return options;
}

int RunCommand(const Arguments& arguments) {
  const AdminClient client(arguments.admin, arguments.token);
  if (arguments.command == "check") return Check(arguments);
  if (arguments.command == "apply") return Apply(arguments, client, false);
  if (arguments.command == "diff") return Apply(arguments, client, true);
  if (arguments.command == "show") return Show(arguments, client);
  if (arguments.command == "status") return ShowStatus(arguments, client);
  if (arguments.command == "drain") return Drain(arguments, client);
  if (arguments.command == "timeline") return ShowTimeLine(arguments, client);
  if (arguments.command == "cost") return ShowCost(arguments, client);
  return Fail("unknown command \"" + arguments.command + "\"; see --help",
              pollenledge::kExitUsage);
}

}  // namespace

int main(int argc, char** argv) {
  Arguments arguments;
  const po::options_description options = MakeOptions(&arguments);
  po::positional_options_description positional;
  positional.add("command", 1);
  po::variables_map given;
  try {
    po::store(po::command_line_parser(argc, argv)
                  .options(options)
                  .positional(positional)
                  .run(),
              given);
    po::notify(given);
  } catch (const po::error& error) {
    return Fail(std::string(error.what()) + "; see --help",
                pollenledge::kExitUsage);
  }
  if (given.count("version") > 0) {
    std::cout << pollenledge::Version() << '\n';
    return pollenledge::kExitOk;
  }
  if (given.count("help") > 0 || arguments.command.empty()) {
    std::cout << kUsage << '\n'
              << options
              << "\nExit status: 0 success, 1 failure, 2 wrong command line, 3 "
                 "wrong tables,\n4 another edit came first, 5 outcome not "
                 "known.\n";
    return given.count("help") > 0 ? pollenledge::kExitOk
                                   : pollenledge::kExitUsage;
  }
  if (arguments.format != "text" && arguments.format != "json") {
    return Fail("--format is text or json", pollenledge::kExitUsage);
  }
  arguments.base_given = given.count("base") > 0;
  if (given.count("token-file") > 0) {
    const auto token =
        pollenledge::ReadFile(given["token-file"].as<std::string>());
    if (!Ok(token)) return Fail(ErrorOf(token).message);
    arguments.token = Value(token);
    while (!arguments.token.empty() && arguments.token.back() == '\n') {
      arguments.token.pop_back();
    }
  } else if (const char* token = std::getenv("POLLEN_ADMIN_TOKEN")) {
    arguments.token = token;
  }
  return RunCommand(arguments);
}
