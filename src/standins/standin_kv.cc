// Stand-in for the platform's key-value service: an in-memory version of the
// JSON gateway of the etcd v3 API (range of one key, put, txn, lease grant,
// watch).
//
// --behaviour and POST /standin/behaviour accept these keys:
//   down          close each connection without a response
//   delay_ms      time before each response
//   lose_answers  close the connection after each of the next n writes, when it
//                 has taken effect
//   stale_reads   let ranges return the state as of the time when this was set

#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/StreamSocket.h>

#include <chrono>
#include <condition_variable>
#include <map>
#include <mutex>
#include <thread>

#include "standin.h"

namespace {

using Json = nlohmann::json;
using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerResponse;
namespace standin = pollenledge::standin;

// How long a watch waits for a change before it checks its connection again.
constexpr std::chrono::milliseconds kWatchTimeout(100);

struct Entry {
  std::string value;
  std::int64_t mod_revision = 0;
  std::int64_t lease = 0;
};

// The gateway sends 64-bit integers as strings. 0 if the field is absent.
std::int64_t ReadInteger(const Json& json, const char* name) {
  if (!json.contains(name)) return 0;
  const Json& value = json[name];
  return value.is_string() ? std::stoll(value.get<std::string>())
                           : value.get<std::int64_t>();
}

// The items and the behaviour of the service. Thread-safe.
class Store {
 public:
  explicit Store(const Json& behaviour) { SetBehaviour(behaviour); }

  void SetBehaviour(const Json& behaviour) {
    const std::lock_guard lock(mutex_);
    down_ = behaviour.value("down", down_);
    delay_ = std::chrono::milliseconds(
        behaviour.value("delay_ms", static_cast<std::int64_t>(delay_.count())));
    responses_to_lose_ = behaviour.value("lose_answers", responses_to_lose_);
    const bool stale = behaviour.value("stale_reads", stale_reads_);
    if (stale && !stale_reads_) stale_entries_ = entries_;
    stale_reads_ = stale;
  }

  bool down() {
    const std::lock_guard lock(mutex_);
    return down_;
  }
  std::chrono::milliseconds delay() {
    const std::lock_guard lock(mutex_);
    return delay_;
  }
  // True if the response to the present write must be lost.
  bool ConsumeLostResponse() {
    const std::lock_guard lock(mutex_);
    if (responses_to_lose_ <= 0) return false;
    --responses_to_lose_;
    return true;
  }

  Json Range(const Json& request) {
    const std::lock_guard lock(mutex_);
    ++calls_["range"];
    return RangeLocked(request, stale_reads_ ? stale_entries_ : entries_);
  }

  Json Put(const Json& request) {
    const std::lock_guard lock(mutex_);
    ++calls_["put"];
    ++revision_;
    PutLocked(request);
    changed_.notify_all();
    return {{"header", Header()}};
  }

  Json Txn(const Json& request) {
    const std::lock_guard lock(mutex_);
    ++calls_["txn"];
    bool matches = true;
    for (const Json& compare : request.value("compare", Json::array())) {
      const auto found = entries_.find(compare.value("key", ""));
      const std::int64_t revision =
          found == entries_.end() ? 0 : found->second.mod_revision;
      if (revision != ReadInteger(compare, "mod_revision")) matches = false;
    }
    Json responses = Json::array();
    if (matches) ++revision_;
    for (const Json& operation :
         request.value(matches ? "success" : "failure", Json::array())) {
      if (operation.contains("request_put")) {
        PutLocked(operation["request_put"]);
        responses.push_back({{"response_put", Json::object()}});
      } else if (operation.contains("request_range")) {
        responses.push_back(
            {{"response_range",
              RangeLocked(operation["request_range"], entries_)}});
      }
    }
    changed_.notify_all();
    return {
        {"header", Header()}, {"succeeded", matches}, {"responses", responses}};
  }

  Json GrantLease(const Json& request) {
    const std::lock_guard lock(mutex_);
    ++calls_["lease"];
    return {{"header", Header()},
            {"ID", std::to_string(++next_lease_)},
            {"TTL", std::to_string(ReadInteger(request, "TTL"))}};
  }

  // Waits until the entry of `key` has `*revision` or a later one. Returns it
  // as a watch event and sets `*revision` past it, or null after
  // `kWatchTimeout`.
  Json WaitForChange(const std::string& key, std::int64_t* revision) {
    std::unique_lock lock(mutex_);
    const auto is_newer = [&] {
      const auto found = entries_.find(key);
      return found != entries_.end() && found->second.mod_revision >= *revision;
    };
    if (!changed_.wait_for(lock, kWatchTimeout, is_newer)) return nullptr;
    const Entry& entry = entries_[key];
    *revision = entry.mod_revision + 1;
    return {{"result",
             {{"header", Header()},
              {"events", Json::array({{{"kv", ToJson(key, entry)}}})}}}};
  }

  Json Calls() {
    const std::lock_guard lock(mutex_);
    return calls_;
  }

 private:
  Json Header() const { return {{"revision", std::to_string(revision_)}}; }

  static Json ToJson(const std::string& key, const Entry& entry) {
    return {{"key", key},
            {"value", entry.value},
            {"mod_revision", std::to_string(entry.mod_revision)}};
  }

  void PutLocked(const Json& put) {
    entries_[put.value("key", "")] = {put.value("value", ""), revision_,
                                      ReadInteger(put, "lease")};
  }

  Json RangeLocked(const Json& request,
                   const std::map<std::string, Entry>& entries) const {
    Json kvs = Json::array();
    const std::string key = request.value("key", "");
    const auto found = entries.find(key);
    if (found != entries.end()) kvs.push_back(ToJson(key, found->second));
    return {{"header", Header()},
            {"kvs", kvs},
            {"count", std::to_string(kvs.size())}};
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, Entry> entries_;
  std::map<std::string, Entry> stale_entries_;
  std::map<std::string, std::int64_t> calls_;
  std::int64_t revision_ = 0;
  std::int64_t next_lease_ = 0;
  bool down_ = false;
  bool stale_reads_ = false;
  int responses_to_lose_ = 0;
  std::chrono::milliseconds delay_{0};
};

void CloseConnection(HTTPServerRequest& request) {
  dynamic_cast<Poco::Net::HTTPServerRequestImpl&>(request).socket().shutdown();
}

void Watch(Store& store, const Json& body, HTTPServerResponse& response) {
  const Json create = body.value("create_request", Json::object());
  const std::string key = create.value("key", "");
  std::int64_t revision = ReadInteger(create, "start_revision");
  response.setChunkedTransferEncoding(true);
  std::ostream& out = response.send();
  out << Json{{"result", {{"created", true}}}}.dump() << '\n' << std::flush;
  while (out.good() && !store.down()) {
    const Json change = store.WaitForChange(key, &revision);
    if (!change.is_null()) out << change.dump() << '\n' << std::flush;
  }
}

void HandleRequest(Store& store, HTTPServerRequest& request,
                   HTTPServerResponse& response) {
  const std::string path = request.getURI();
  const Json body = standin::ReadJsonBody(request);
  if (path == "/standin/behaviour") {
    store.SetBehaviour(body);
    standin::SendJsonResponse(response, 200, Json::object());
    return;
  }
  if (path == "/standin/calls") {
    standin::SendJsonResponse(response, 200, store.Calls());
    return;
  }
  std::this_thread::sleep_for(store.delay());
  if (store.down()) {
    CloseConnection(request);
    return;
  }
  if (path == "/v3/kv/range") {
    standin::SendJsonResponse(response, 200, store.Range(body));
  } else if (path == "/v3/kv/put" || path == "/v3/kv/txn") {
    const Json reply = path == "/v3/kv/put" ? store.Put(body) : store.Txn(body);
    if (store.ConsumeLostResponse()) {
      CloseConnection(request);
      return;
    }
    standin::SendJsonResponse(response, 200, reply);
  } else if (path == "/v3/lease/grant") {
    standin::SendJsonResponse(response, 200, store.GrantLease(body));
  } else if (path == "/v3/watch") {
    Watch(store, body, response);
  } else {
    standin::SendJsonResponse(response, 404,
                              {{"error", "unknown path " + path}});
  }
}

}  // namespace

int main(int argc, char** argv) {
  const standin::Options options = standin::ParseOptions(
      argc, argv,
      "standin_kv: stand-in for a key-value service, etcd v3 JSON gateway.");
  Store store(options.behaviour);
  return standin::Serve(options, [&store](auto& request, auto& response) {
    HandleRequest(store, request, response);
  });
}
