// pollenctl: the operators' command-line client of the admin API.

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
    "  check      validate routes and pools files; needs no node\n"
    "  apply      replace the active tables with these files\n"
    "  show       print the active tables\n"
    "  diff       print what apply would change\n"
    "  status     print domain, incarnation, version and load of each node\n"
    "  drain      drain and stop the node at --admin\n"
    "  timeline   print the events of all nodes in causal order\n"
    "  cost       print the total cost and its lines by customer and route\n";

// The parsed command line.
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
  bool has_base = false;
  std::int64_t remaining_ms = -1;

  bool as_json() const { return format == "json"; }
};

// Prints the message to standard error and returns `status`.
int ReportError(const std::string& message,
                int status = pollenledge::kExitFailure) {
  std::cerr << "pollenctl: " << message << '\n';
  return status;
}

// A random id of an edit, by which the control agent recognizes its retry.
std::string NewEditId() {
  std::random_device random;
  std::ostringstream id;
  id << std::hex << std::setfill('0');
  for (int i = 0; i < 4; ++i) id << std::setw(8) << random();
  return id.str();
}

Result<pollenledge::TablesYaml> ReadTableFiles(const Arguments& arguments) {
  pollenledge::TablesYaml texts;
  for (auto [path, text] : {std::pair(&arguments.routes, &texts.routes),
                            std::pair(&arguments.pools, &texts.pools)}) {
    Result<std::string> read = pollenledge::ReadFile(*path);
    if (!Ok(read)) return ErrorOf(read);
    *text = std::move(Value(read));
  }
  return texts;
}

Result<pollenledge::VersionedTablesYaml> FetchActiveTables(
    const AdminClient& client) {
  const Result<json> response = client.Get("/admin/v1/tables");
  if (!Ok(response)) return ErrorOf(response);
  return pollenledge::VersionedTablesYaml{
      Value(response).value("version", std::uint64_t{0}),
      {Value(response).value("routes", ""),
       Value(response).value("pools", "")}};
}

// Prints the problems to standard error and returns the exit status for them.
int ReportProblems(const std::vector<pollenledge::FieldProblem>& problems) {
  std::cerr << pollenledge::ToString(problems) << '\n';
  return pollenledge::kExitBadSettings;
}

int Check(const Arguments& arguments) {
  const auto texts = ReadTableFiles(arguments);
  if (!Ok(texts)) return ReportError(ErrorOf(texts).message);
  const auto parsed_tables = pollenledge::ParseTables(Value(texts), 1);
  if (const auto* problems =
          std::get_if<std::vector<pollenledge::FieldProblem>>(&parsed_tables)) {
    return ReportProblems(*problems);
  }
  std::cout << "tables are valid\n";
  return pollenledge::kExitOk;
}

// Prints what differs between the active tables and `after`.
void PrintDiff(const pollenledge::VersionedTablesYaml& active,
               const pollenledge::Tables& after) {
  pollenledge::Tables before;
  if (active.version > 0) {
    auto parsed = pollenledge::ParseTables(active.yaml, active.version);
    if (auto* tables = std::get_if<pollenledge::Tables>(&parsed)) {
      before = std::move(*tables);
    }
  }
  std::cout << "changes to version " << active.version << ":\n";
  for (const pollenledge::TableChange& change :
       pollenledge::DiffTables(before, after)) {
    std::cout << "  " << change.row << ' ' << change.kind << '\n';
  }
}

// Applies the tables in the given files, or with `is_dry_run` only prints what
// that would change.
int Apply(const Arguments& arguments, const AdminClient& client,
          bool is_dry_run) {
  const auto texts = ReadTableFiles(arguments);
  if (!Ok(texts)) return ReportError(ErrorOf(texts).message);
  const auto parsed_tables = pollenledge::ParseTables(Value(texts), 1);
  if (const auto* problems =
          std::get_if<std::vector<pollenledge::FieldProblem>>(&parsed_tables)) {
    return ReportProblems(*problems);
  }
  const auto active = FetchActiveTables(client);
  if (!Ok(active)) return ReportError(ErrorOf(active).message);
  if (!arguments.as_json()) {
    PrintDiff(Value(active), std::get<pollenledge::Tables>(parsed_tables));
  }
  if (is_dry_run) return pollenledge::kExitOk;
  const std::string edit_id =
      arguments.edit_id.empty() ? NewEditId() : arguments.edit_id;
  const std::uint64_t base =
      arguments.has_base ? arguments.base : Value(active).version;
  int status = 0;
  const auto response = client.Post("/admin/v1/apply",
                                    {{"routes", Value(texts).routes},
                                     {"pools", Value(texts).pools},
                                     {"base_version", base},
                                     {"author", arguments.author},
                                     {"edit_id", edit_id}},
                                    &status);
  if (!Ok(response)) {
    return ReportError(ErrorOf(response).message + "; the outcome of edit " +
                           edit_id +
                           " is unknown: retry it with "
                           "--edit-id " +
                           edit_id,
                       pollenledge::kExitUnknownOutcome);
  }
  const json& result = Value(response);
  if (arguments.as_json()) std::cout << result.dump() << '\n';
  const std::string kind = result.value("result", "");
  if (kind == "accepted") {
    if (!arguments.as_json()) {
      std::cout << "accepted as version " << result.value("version", 0) << '\n';
    }
    return pollenledge::kExitOk;
  }
  if (kind == "conflict") {
    return ReportError("not applied: version " +
                           std::to_string(result.value("current_version", 0)) +
                           " by \"" + result.value("author", "") +
                           "\" is active, not " + std::to_string(base) +
                           "; inspect it with show and apply again",
                       pollenledge::kExitConflict);
  }
  if (kind == "unknown") {
    return ReportError(
        "the key-value service did not confirm whether the edit took "
        "effect; retry it with --edit-id " +
            edit_id,
        pollenledge::kExitUnknownOutcome);
  }
  return ReportError(
      "not applied, nothing was changed: " +
      result.value("why", result.value("detail", result.dump())));
}

int Show(const Arguments& arguments, const AdminClient& client) {
  const auto tables = FetchActiveTables(client);
  if (!Ok(tables)) return ReportError(ErrorOf(tables).message);
  const pollenledge::VersionedTablesYaml& texts = Value(tables);
  if (arguments.as_json()) {
    std::cout << json{{"version", texts.version},
                      {"routes", texts.yaml.routes},
                      {"pools", texts.yaml.pools}}
                     .dump()
              << '\n';
    return pollenledge::kExitOk;
  }
  std::cout << "# version " << texts.version << "\n# routes.yaml\n"
            << texts.yaml.routes << "# pools.yaml\n"
            << texts.yaml.pools;
  return pollenledge::kExitOk;
}

// Returns a failure status if a node was not reached.
int ShowStatus(const Arguments& arguments, const AdminClient& client) {
  const std::vector<pollenledge::NodeStatus> nodes = client.QueryAllNodes();
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
  const auto response = client.Post("/admin/v1/drain", body, &status);
  if (!Ok(response)) return ReportError(ErrorOf(response).message);
  if (status != 200)
    return ReportError(Value(response).value("detail", "failed"));
  std::cout << "draining\n";
  return pollenledge::kExitOk;
}

int ShowTimeLine(const Arguments& arguments, const AdminClient& client) {
  std::vector<pollenledge::TimeLineEvent> events = client.QueryFleetTimeLine();
  if (!arguments.request.empty()) {
    const auto id = pollenledge::ParseRequestId(arguments.request);
    if (!Ok(id))
      return ReportError(ErrorOf(id).message, pollenledge::kExitUsage);
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
  if (!file.good())
    return ReportError("cannot write \"" + arguments.output + "\"");
  return pollenledge::kExitOk;
}

// Formats millionths of the currency unit.
std::string FormatMoney(std::int64_t micros) {
  std::ostringstream out;
  out << std::fixed << std::setprecision(6)
      << static_cast<double>(micros) / 1e6;
  return out.str();
}

int ShowCost(const Arguments& arguments, const AdminClient& client) {
  std::int64_t total = 0;
  const auto lines = client.QueryFleetCost(&total);
  if (!Ok(lines)) return ReportError(ErrorOf(lines).message);
  if (arguments.as_json()) {
    json list = json::array();
    for (const auto& line : Value(lines)) {
      list.push_back({{"what", line.category},
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
    std::cout << std::left << std::setw(15) << line.category << std::setw(22)
              << line.key.customer << std::setw(14) << line.key.route
              << std::setw(12) << line.key.domain << std::setw(28)
              << line.key.machine_class << std::right << std::setw(12)
              << FormatMoney(line.micros) << '\n';
  }
  std::cout << "total " << FormatMoney(total) << '\n';
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
      "routes file")(
      "pools", po::value(&arguments->pools)->default_value("pools.yaml"),
      "pools file")("base", po::value(&arguments->base),
                    "version the edit is based on; default: the active one")(
      "author", po::value(&arguments->author)->default_value(""),
      "author of the edit")("edit-id", po::value(&arguments->edit_id),
                            "id of the edit; reuse it for a retry")(
      "format", po::value(&arguments->format)->default_value("text"),
      "text or json")("request", po::value(&arguments->request),
                      "timeline: print only the events of this request")(
      "output", po::value(&arguments->output), "timeline: file to write to")(
      "remaining-ms", po::value(&arguments->remaining_ms),
      "drain: time until the instance is reclaimed")(
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
  return ReportError(
      "unknown command \"" + arguments.command + "\"; see --help",
      pollenledge::kExitUsage);
}

}  // namespace

int main(int argc, char** argv) {
  Arguments arguments;
  const po::options_description options = MakeOptions(&arguments);
  po::positional_options_description positional;
  positional.add("command", 1);
  po::variables_map parsed_options;
  try {
    po::store(po::command_line_parser(argc, argv)
                  .options(options)
                  .positional(positional)
                  .run(),
              parsed_options);
    po::notify(parsed_options);
  } catch (const po::error& error) {
    return ReportError(std::string(error.what()) + "; see --help",
                       pollenledge::kExitUsage);
  }
  if (parsed_options.count("version") > 0) {
    std::cout << pollenledge::Version() << '\n';
    return pollenledge::kExitOk;
  }
  if (parsed_options.count("help") > 0 || arguments.command.empty()) {
    std::cout << kUsage << '\n'
              << options
              << "\nExit status: 0 success, 1 failure, 2 wrong command line, 3 "
                 "wrong tables,\n4 another edit was applied first, 5 outcome "
                 "unknown.\n";
    return parsed_options.count("help") > 0 ? pollenledge::kExitOk
                                            : pollenledge::kExitUsage;
  }
  if (arguments.format != "text" && arguments.format != "json") {
    return ReportError("--format must be text or json",
                       pollenledge::kExitUsage);
  }
  arguments.has_base = parsed_options.count("base") > 0;
  if (parsed_options.count("token-file") > 0) {
    const auto token =
        pollenledge::ReadFile(parsed_options["token-file"].as<std::string>());
    if (!Ok(token)) return ReportError(ErrorOf(token).message);
    arguments.token = Value(token);
    while (!arguments.token.empty() && arguments.token.back() == '\n') {
      arguments.token.pop_back();
    }
  } else if (const char* token = std::getenv("POLLEN_ADMIN_TOKEN")) {
    arguments.token = token;
  }
  return RunCommand(arguments);
}
