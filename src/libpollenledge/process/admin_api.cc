#include "pollenledge/process/admin_api.h"

#include <Poco/URI.h>
#include <openssl/crypto.h>

#include <nlohmann/json.hpp>

namespace pollenledge {
namespace {

using Json = nlohmann::json;
using Poco::Net::HTTPServerResponse;

constexpr std::int64_t kMaxAdminBodyBytes = 4 << 20;

void SendJson(HTTPServerResponse& response, int status, const Json& json) {
  SendHttpResponse(response, status, "application/json",
                   json.dump(-1, ' ', false, Json::error_handler_t::replace));
}

Json ProblemsToJson(const std::vector<FieldProblem>& problems) {
  Json list = Json::array();
  for (const FieldProblem& problem : problems) {
    list.push_back({{"file", problem.file},
                    {"line", problem.line},
                    {"field", problem.field},
                    {"found", problem.found},
                    {"allowed", problem.allowed},
                    {"text", ToString(problem)}});
  }
  return list;
}

void SendEditResult(HTTPServerResponse& response, const EditStep& step) {
  std::visit(
      Overloaded{
          [&](const EditAccepted& accepted) {
            SendJson(response, 200,
                     {{"result", "accepted"}, {"version", accepted.version}});
          },
          [&](const EditConflict& conflict) {
            SendJson(response, 409,
                     {{"result", "conflict"},
                      {"current_version", conflict.current_version},
                      {"author", conflict.author}});
          },
          [&](const EditUnavailable& unavailable) {
            SendJson(response, 503,
                     {{"result", "unavailable"}, {"why", unavailable.reason}});
          },
          [&](const EditOutcomeUnknown& unknown) {
            SendJson(response, 504,
                     {{"result", "unknown"}, {"edit_id", unknown.edit_id}});
          },
          [&](const auto&) {
            SendProblem(response, 500, "internal", "the edit did not finish");
          }},
      step);
}

Json BillToJson(const std::vector<BilledInstances>& bill) {
  Json lines = Json::array();
  for (const BilledInstances& line : bill) {
    lines.push_back({{"domain", line.domain},
                     {"class", line.machine_class},
                     {"price_micros_per_hour", line.price_micros_per_hour},
                     {"instance_us", line.instance_time.count()},
                     {"slots", line.slots},
                     {"spare_share", line.spare_share}});
  }
  return lines;
}

}  // namespace

void AdminApi::Handle(Poco::Net::HTTPServerRequest& request,
                      HTTPServerResponse& response) {
  const std::string path = Poco::URI(request.getURI()).getPath();
  if (path == "/healthz") {
    SendHttpResponse(response, 200, "text/plain", "ok\n");
    return;
  }
  if (!IsAuthorized(request)) {
    response.set("WWW-Authenticate", "Bearer");
    SendProblem(response, 401, "unauthorized",
                "the operators' token is missing or wrong");
    return;
  }
  const Result<std::string> body = ReadBody(request, kMaxAdminBodyBytes);
  if (!Ok(body)) {
    SendProblem(response, 413, "bad-body", ErrorOf(body).message);
    return;
  }
  const bool is_post = request.getMethod() == Poco::Net::HTTPRequest::HTTP_POST;
  if (is_post && path == "/admin/v1/check") {
    HandleCheckOrApply(Value(body), true, response);
  } else if (is_post && path == "/admin/v1/apply") {
    HandleCheckOrApply(Value(body), false, response);
  } else if (is_post && path == "/admin/v1/drain") {
    HandleDrain(Value(body), response);
  } else if (!is_post && path == "/admin/v1/tables") {
    const VersionedTablesYaml tables = control_service_->LatestTables();
    SendJson(response, 200,
             {{"version", tables.version},
              {"routes", tables.yaml.routes},
              {"pools", tables.yaml.pools}});
  } else if (!is_post) {
    HandleReport(path, response);
  } else {
    SendProblem(response, 404, "unknown-path", "no such path: " + path);
  }
}

bool AdminApi::IsAuthorized(const Poco::Net::HTTPServerRequest& request) const {
  const std::string digest = Sha256Hex(BearerToken(request));
  const std::string& expected = settings_.admin_token_sha256;
  return digest.size() == expected.size() &&
         CRYPTO_memcmp(digest.data(), expected.data(), digest.size()) == 0;
}

void AdminApi::HandleCheckOrApply(const std::string& body, bool check_only,
                                  HTTPServerResponse& response) {
  const Json json = Json::parse(body, nullptr, false);
  const bool valid = json.is_object() && json.contains("routes") &&
                     json["routes"].is_string() && json.contains("pools") &&
                     json["pools"].is_string();
  if (!valid) {
    SendProblem(response, 400, "invalid-request",
                "the body must be a JSON object with the string fields "
                "\"routes\" and \"pools\"");
    return;
  }
  ConfigChange change;
  change.yaml = {json["routes"].get<std::string>(),
                 json["pools"].get<std::string>()};
  change.base_version = json.value("base_version", std::uint64_t{0});
  change.edit_id = json.value("edit_id", "");
  change.author = json.value("author", "");
  if (check_only) {
    const TablesResult checked = ParseTables(change.yaml, 1);
    const auto* problems = std::get_if<std::vector<FieldProblem>>(&checked);
    SendJson(response, 200,
             {{"problems", problems == nullptr ? Json::array()
                                               : ProblemsToJson(*problems)}});
    return;
  }
  if (change.edit_id.empty()) {
    SendProblem(response, 400, "invalid-request",
                "field \"edit_id\": found nothing, allowed: a unique string");
    return;
  }
  const ApplyResult result = control_service_->Apply(change);
  if (const auto* problems = std::get_if<std::vector<FieldProblem>>(&result)) {
    SendJson(response, 422,
             {{"result", "refused"}, {"problems", ProblemsToJson(*problems)}});
    return;
  }
  SendEditResult(response, std::get<EditStep>(result));
}

void AdminApi::HandleReport(const std::string& path,
                            HTTPServerResponse& response) {
  const Result<EntryReport> report = control_service_->QueryEntryReport();
  if (!Ok(report)) {
    SendProblem(response, 503, "entry-unreachable", ErrorOf(report).message,
                std::chrono::seconds(1));
    return;
  }
  if (path == "/admin/v1/status") {
    SendHttpResponse(response, 200, "application/json", Value(report).status);
  } else if (path == "/admin/v1/timeline") {
    SendHttpResponse(response, 200, "application/json",
                     Value(report).time_line);
  } else if (path == "/admin/v1/cost") {
    Json json = {{"bill", BillToJson(control_service_->InstanceBill())}};
    json["usage"] = Json::parse(Value(report).usage, nullptr, false);
    SendJson(response, 200, json);
  } else {
    SendProblem(response, 404, "unknown-path", "no such path: " + path);
  }
}

void AdminApi::HandleDrain(const std::string& body,
                           HTTPServerResponse& response) {
  const Json json = Json::parse(body, nullptr, false);
  std::optional<Duration> remaining;
  if (json.is_object() && json.contains("remaining_ms")) {
    remaining = std::chrono::milliseconds(json.value("remaining_ms", 0));
  }
  const Status status = control_service_->DrainEntry(remaining);
  if (!Ok(status)) {
    SendProblem(response, 503, "entry-unreachable", ErrorOf(status).message,
                std::chrono::seconds(1));
    return;
  }
  SendJson(response, 200, {{"result", "draining"}});
}

}  // namespace pollenledge
