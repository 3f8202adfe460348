#include "pollenledge/process/admin_client.h"

#include "pollenledge/connection/http.h"
#include "pollenledge/process/entry_report.h"

namespace pollenledge {
namespace {

using Json = nlohmann::json;

constexpr Duration kTimeout = std::chrono::seconds(10);

Result<Json> CallJson(HttpCall call, const std::string& token, int* status) {
  call.headers["Authorization"] = "Bearer " + token;
  call.timeout = kTimeout;
  const Result<HttpAnswer> answer = Call(call);
  if (!Ok(answer)) return ErrorOf(answer);
  *status = Value(answer).status;
  Json json = Json::parse(Value(answer).body, nullptr, false);
  if (json.is_discarded()) {
    return Error{ErrorCode::kUnavailable,
                 call.address + call.path + " did not answer JSON"};
  }
  if (*status == 401) {
    return Error{ErrorCode::kPermissionDenied,
                 call.address + " refuses the operators' token"};
  }
  return json;
}

}  // namespace

Result<Json> AdminClient::Get(const std::string& path) const {
  HttpCall call;
  call.address = address_;
  call.path = path;
  int status = 0;
  Result<Json> json = CallJson(call, token_, &status);
  if (Ok(json) && status != 200) {
    return Error{ErrorCode::kUnavailable,
                 address_ + ": " + Value(json).value("detail", "failed")};
  }
  return json;
}

Result<Json> AdminClient::Post(const std::string& path, const Json& body,
                               int* status) const {
  HttpCall call;
  call.address = address_;
  call.method = "POST";
  call.path = path;
  call.body = body.dump();
  call.headers["Content-Type"] = "application/json";
  return CallJson(call, token_, status);
}

std::vector<NodeStatus> AdminClient::AllNodes() const {
  std::vector<NodeStatus> nodes;
  const Result<Json> own = Get("/admin/v1/status");
  nodes.push_back({address_, Ok(own), Ok(own) ? Value(own) : Json()});
  if (!Ok(own)) return nodes;
  for (const Json& member : Value(own).value("members", Json::array())) {
    const std::string address = member.value("admin_address", "");
    if (member.value("status", "") == "left" || address.empty()) continue;
    const Result<Json> status =
        AdminClient(address, token_).Get("/admin/v1/status");
    nodes.push_back({address, Ok(status), Ok(status) ? Value(status) : member});
  }
  return nodes;
}

std::vector<TimeLineEvent> AdminClient::TimeLineOfAll() const {
  std::vector<std::vector<TimeLineEvent>> lines;
  for (const NodeStatus& node : AllNodes()) {
    if (!node.reached) continue;
    const Result<Json> json =
        AdminClient(node.admin_address, token_).Get("/admin/v1/timeline");
    if (!Ok(json)) continue;
    Result<std::vector<TimeLineEvent>> line = ParseTimeLine(Value(json).dump());
    if (Ok(line)) lines.push_back(std::move(Value(line)));
  }
  return MergeTimeLines(std::move(lines));
}

Result<std::vector<CostLine>> AdminClient::CostOfAll(
    std::int64_t* total) const {
  std::map<UsageKey, Usage> usage;
  std::vector<BilledInstances> bill;
  for (const NodeStatus& node : AllNodes()) {
    if (!node.reached) continue;
    const Result<Json> json =
        AdminClient(node.admin_address, token_).Get("/admin/v1/cost");
    if (!Ok(json)) return ErrorOf(json);
    const Status added =
        AddUsage(Value(json).value("usage", Json::array()).dump(), &usage);
    if (!Ok(added)) return ErrorOf(added);
    // Every agent sees the whole list; the first one's account is the bill.
    if (!bill.empty()) continue;
    for (const Json& line : Value(json).value("bill", Json::array())) {
      BilledInstances billed;
      billed.domain = line.value("domain", "");
      billed.machine_class = line.value("class", "");
      billed.price_micros_per_hour =
          line.value("price_micros_per_hour", std::int64_t{0});
      billed.instance_time =
          Duration(line.value("instance_us", std::int64_t{0}));
      billed.slots = line.value("slots", 1);
      billed.spare_share = line.value("spare_share", 0.0);
      bill.push_back(billed);
    }
  }
  *total = TotalOf(bill);
  return ExplainCost(bill, usage);
}

}  // namespace pollenledge
