#include "pollenledge/process/admin_client.h"

#include "pollenledge/connection/http.h"
#include "pollenledge/process/entry_report.h"

namespace pollenledge {
namespace {

using Json = nlohmann::json;

constexpr Duration kCallTimeout = std::chrono::seconds(10);

Result<Json> CallForJson(HttpCall call, const std::string& token, int* status) {
  call.headers["Authorization"] = "Bearer " + token;
  call.timeout = kCallTimeout;
  const Result<HttpResponse> response = MakeHttpCall(call);
  if (!Ok(response)) return ErrorOf(response);
  *status = Value(response).status;
  Json json = Json::parse(Value(response).body, nullptr, false);
  if (json.is_discarded()) {
    return Error{ErrorCode::kUnavailable,
                 call.address + call.path + " did not return JSON"};
  }
  if (*status == 401) {
    return Error{ErrorCode::kPermissionDenied,
                 call.address + " rejected the operators' token"};
  }
  return json;
}

}  // namespace

Result<Json> AdminClient::Get(const std::string& path) const {
  HttpCall call;
  call.address = address_;
  call.path = path;
  int status = 0;
  Result<Json> json = CallForJson(call, token_, &status);
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
  return CallForJson(call, token_, status);
}

std::vector<NodeStatus> AdminClient::QueryAllNodes() const {
  std::vector<NodeStatus> nodes;
  const Result<Json> first_status = Get("/admin/v1/status");
  nodes.push_back({address_, Ok(first_status),
                   Ok(first_status) ? Value(first_status) : Json()});
  if (!Ok(first_status)) return nodes;
  for (const Json& member :
       Value(first_status).value("members", Json::array())) {
    const std::string address = member.value("admin_address", "");
    if (member.value("status", "") == "left" || address.empty()) continue;
    const Result<Json> status =
        AdminClient(address, token_).Get("/admin/v1/status");
    nodes.push_back({address, Ok(status), Ok(status) ? Value(status) : member});
  }
  return nodes;
}

std::vector<TimeLineEvent> AdminClient::QueryFleetTimeLine() const {
  std::vector<std::vector<TimeLineEvent>> time_lines;
  for (const NodeStatus& node : QueryAllNodes()) {
    if (!node.reached) continue;
    const Result<Json> json =
        AdminClient(node.admin_address, token_).Get("/admin/v1/timeline");
    if (!Ok(json)) continue;
    Result<std::vector<TimeLineEvent>> time_line =
        ParseTimeLine(Value(json).dump());
    if (Ok(time_line)) time_lines.push_back(std::move(Value(time_line)));
  }
  return MergeTimeLines(std::move(time_lines));
}

Result<std::vector<CostLine>> AdminClient::QueryFleetCost(
    std::int64_t* total) const {
  std::map<SlotUsageKey, SlotUsage> usage;
  std::vector<BilledInstances> bill;
  for (const NodeStatus& node : QueryAllNodes()) {
    if (!node.reached) continue;
    const Result<Json> json =
        AdminClient(node.admin_address, token_).Get("/admin/v1/cost");
    if (!Ok(json)) return ErrorOf(json);
    const Status added = AddUsageFromJson(
        Value(json).value("usage", Json::array()).dump(), &usage);
    if (!Ok(added)) return ErrorOf(added);
    // Every agent sees the platform's whole instance list, so the bill of the
    // first agent that has one is complete.
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
  *total = TotalCost(bill);
  return AllocateCost(bill, usage);
}

}  // namespace pollenledge
