#include "pollenledge/connection/kv_client.h"

#include <Poco/Base64Decoder.h>
#include <Poco/Base64Encoder.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/SocketAddress.h>

#include <istream>
#include <iterator>
#include <nlohmann/json.hpp>
#include <sstream>
#include <utility>

#include "pollenledge/connection/http.h"

namespace pollenledge {
namespace {

using Json = nlohmann::json;

std::string EncodeBase64(const std::string& text) {
  std::ostringstream out;
  Poco::Base64Encoder encoder(out);
  encoder.rdbuf()->setLineLength(0);
  encoder << text;
  encoder.close();
  return out.str();
}

std::string DecodeBase64(const std::string& text) {
  std::istringstream in(text);
  Poco::Base64Decoder decoder(in);
  return std::string(std::istreambuf_iterator<char>(decoder), {});
}

// The gateway encodes 64-bit integers as JSON strings. Returns 0 if the value
// is absent or of another type.
std::int64_t ParseInt64(const Json& json, const char* name) {
  const auto found = json.find(name);
  if (found == json.end()) return 0;
  if (found->is_number()) return found->get<std::int64_t>();
  if (!found->is_string()) return 0;
  return std::strtoll(found->get_ref<const std::string&>().c_str(), nullptr,
                      10);
}

KvEntry ParseEntry(const Json& json) {
  return {DecodeBase64(json.value("key", "")),
          DecodeBase64(json.value("value", "")),
          ParseInt64(json, "mod_revision")};
}

std::vector<KvEntry> ParseEntries(const Json& range) {
  std::vector<KvEntry> entries;
  const auto kvs = range.find("kvs");
  if (kvs == range.end() || !kvs->is_array()) return entries;
  for (const Json& kv : *kvs) entries.push_back(ParseEntry(kv));
  return entries;
}

Error MalformedResponse(const std::string& path) {
  return {ErrorCode::kUnknownOutcome,
          "key-value service: malformed response to " + path};
}

}  // namespace

KvClient::KvClient(std::string address, Duration timeout)
    : address_(std::move(address)), timeout_(timeout) {}

Result<std::optional<KvEntry>> KvClient::Read(const std::string& key) const {
  const Result<std::string> response_body =
      Post("/v3/kv/range", Json{{"key", EncodeBase64(key)}}.dump());
  if (!Ok(response_body)) return ErrorOf(response_body);
  const Json json = Json::parse(Value(response_body), nullptr, false);
  if (!json.is_object()) return MalformedResponse("/v3/kv/range");
  std::vector<KvEntry> entries = ParseEntries(json);
  if (entries.empty()) return std::optional<KvEntry>();
  return std::optional<KvEntry>(std::move(entries.front()));
}

Result<KvTxnReply> KvClient::Write(const std::vector<KvWrite>& writes) const {
  Json compare = Json::array();
  Json success = Json::array();
  Json failure = Json::array();
  for (const KvWrite& write : writes) {
    const std::string key = EncodeBase64(write.key);
    compare.push_back(
        {{"key", key},
         {"target", "MOD"},
         {"result", "EQUAL"},
         {"mod_revision", std::to_string(write.expected_revision)}});
    Json put = {{"key", key}, {"value", EncodeBase64(write.value)}};
    if (write.lease != 0) put["lease"] = std::to_string(write.lease);
    success.push_back({{"request_put", std::move(put)}});
    failure.push_back({{"request_range", {{"key", key}}}});
  }
  const Json txn = {
      {"compare", compare}, {"success", success}, {"failure", failure}};
  const Result<std::string> response_body = Post("/v3/kv/txn", txn.dump());
  if (!Ok(response_body)) return ErrorOf(response_body);
  const Json json = Json::parse(Value(response_body), nullptr, false);
  if (!json.is_object() || !json.contains("header")) {
    return MalformedResponse("/v3/kv/txn");
  }
  KvTxnReply reply;
  reply.succeeded = json.value("succeeded", false);
  reply.revision = ParseInt64(json["header"], "revision");
  if (reply.succeeded) return reply;
  for (const Json& response : json.value("responses", Json::array())) {
    const auto range = response.find("response_range");
    if (range == response.end()) continue;
    for (KvEntry& entry : ParseEntries(*range)) {
      reply.current.push_back(std::move(entry));
    }
  }
  return reply;
}

Result<std::int64_t> KvClient::GrantLease(Duration time_to_live) const {
  const auto seconds =
      std::chrono::duration_cast<std::chrono::seconds>(time_to_live).count();
  const Result<std::string> response_body =
      Post("/v3/lease/grant", Json{{"TTL", std::to_string(seconds)}}.dump());
  if (!Ok(response_body)) return ErrorOf(response_body);
  const Json json = Json::parse(Value(response_body), nullptr, false);
  const std::int64_t id = json.is_object() ? ParseInt64(json, "ID") : 0;
  if (id == 0) return MalformedResponse("/v3/lease/grant");
  return id;
}

Error KvClient::Watch(
    const std::string& key, std::int64_t after_revision, Duration idle_timeout,
    const std::function<bool(const KvEntry&)>& on_change) const {
  try {
    Poco::Net::HTTPClientSession session{Poco::Net::SocketAddress(address_)};
    session.setTimeout(Poco::Timespan(timeout_.count()),
                       Poco::Timespan(timeout_.count()),
                       Poco::Timespan(idle_timeout.count()));
    const std::string body =
        Json{{"create_request",
              {{"key", EncodeBase64(key)},
               {"start_revision", std::to_string(after_revision + 1)}}}}
            .dump();
    Poco::Net::HTTPRequest request("POST", "/v3/watch",
                                   Poco::Net::HTTPMessage::HTTP_1_1);
    request.setContentLength(static_cast<std::streamsize>(body.size()));
    session.sendRequest(request) << body << std::flush;
    Poco::Net::HTTPResponse response;
    std::istream& in = session.receiveResponse(response);
    std::string line;
    while (std::getline(in, line)) {
      const Json json = Json::parse(line, nullptr, false);
      if (!json.is_object() || !json.contains("result")) continue;
      for (const Json& event : json["result"].value("events", Json::array())) {
        if (event.contains("kv") && !on_change(ParseEntry(event["kv"]))) {
          return {ErrorCode::kUnavailable, "watch stopped by its callback"};
        }
      }
    }
    return {ErrorCode::kUnavailable, "watch connection closed"};
  } catch (const std::exception& error) {
    return {ErrorCode::kUnavailable,
            std::string("watch failed: ") + error.what()};
  }
}

Result<std::string> KvClient::Post(const std::string& path,
                                   const std::string& body) const {
  HttpCall call;
  call.address = address_;
  call.method = "POST";
  call.path = path;
  call.body = body;
  call.headers["Content-Type"] = "application/json";
  call.timeout = timeout_;
  Result<HttpResponse> response = MakeHttpCall(call);
  if (!Ok(response)) return ErrorOf(response);
  if (Value(response).status != 200) {
    return Error{ErrorCode::kUnknownOutcome,
                 "key-value service: HTTP status " +
                     std::to_string(Value(response).status) + " for " + path};
  }
  return std::move(Value(response).body);
}

}  // namespace pollenledge
