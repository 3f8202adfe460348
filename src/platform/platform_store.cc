#include "platform/platform_store.h"

#include <Poco/Base64Decoder.h>
#include <Poco/Base64Encoder.h>
#include <Poco/URI.h>

#include <nlohmann/json.hpp>
#include <sstream>
#include <utility>

namespace pollenledge {
namespace {

using Json = nlohmann::json;

/// The store answers in milliseconds; on its slow days in some hundred.
constexpr Duration kCallTimeout = std::chrono::milliseconds(900);
/// Past the wait of a watch, its answer is overdue.
constexpr Duration kWatchMargin = std::chrono::milliseconds(1500);
constexpr int kOk = 200;
constexpr int kLeaseOrKeyMissing = 404;
constexpr int kHistoryGone = 410;
constexpr int kConditionFailed = 412;

std::string Escape(const std::string& text) {
  std::string escaped;
  Poco::URI::encode(text, "&=?#+/%", escaped);
  return escaped;
}

std::string Encode(const std::string& bytes) {
  std::ostringstream out;
  Poco::Base64Encoder encoder(out);
  encoder.rdbuf()->setLineLength(0);
  encoder << bytes;
  encoder.close();
  return out.str();
}

std::string Decode(const std::string& text) {
  std::istringstream in(text);
  Poco::Base64Decoder decoder(in);
  std::ostringstream out;
  out << decoder.rdbuf();
  return out.str();
}

KvEntry ToEntry(const Json& json) {
  KvEntry entry;
  entry.key = json.at("key").get<std::string>();
  entry.value = Decode(json.value("value", std::string()));
  entry.mod_revision = json.value("revision", std::int64_t{0});
  return entry;
}

std::vector<KvEntry> ToEntries(const Json& list) {
  std::vector<KvEntry> entries;
  entries.reserve(list.size());
  for (const Json& item : list) entries.push_back(ToEntry(item));
  return entries;
}

Error Refused(const HttpAnswer& answer) {
  return {ErrorCode::kUnavailable,
          "the store answered with status " + std::to_string(answer.status)};
}

/// Runs `convert` on the answer's body; what does not parse is an error.
template <typename T, typename Convert>
Result<T> ConvertBody(const HttpAnswer& answer, Convert convert) {
  try {
    return convert(Json::parse(answer.body));
  } catch (const std::exception& problem) {
    return Error{
        ErrorCode::kUnknownOutcome,
        std::string("the store's answer cannot be read: ") + problem.what()};
  }
}

/// The error of a call that did not answer with success.
template <typename T>
std::optional<Result<T>> CheckAnswer(const Result<HttpAnswer>& answer) {
  if (!Ok(answer)) return ErrorOf(answer);
  const int status = Value(answer).status;
  if (status == kLeaseOrKeyMissing || status == kHistoryGone) {
    return Error{ErrorCode::kNotFound, "the lease or the history is gone"};
  }
  if (status != kOk) return Refused(Value(answer));
  return std::nullopt;
}

Result<StoreLease> ToLease(const Result<HttpAnswer>& answer, std::int64_t id) {
  if (auto error = CheckAnswer<StoreLease>(answer)) return *error;
  return ConvertBody<StoreLease>(Value(answer), [id](const Json& json) {
    return StoreLease{
        json.value("lease", id),
        std::chrono::milliseconds(json.at("ttl_ms").get<std::int64_t>())};
  });
}

HttpCall MakeGet(std::string path) {
  HttpCall call;
  call.path = std::move(path);
  call.timeout = kCallTimeout;
  return call;
}

HttpCall MakePost(std::string path, const Json& body) {
  HttpCall call = MakeGet(std::move(path));
  call.method = "POST";
  call.headers["Content-Type"] = "application/json";
  call.body = body.is_null() ? "" : body.dump();
  return call;
}

const char* OutcomeName(const Result<HttpAnswer>& answer) {
  if (Ok(answer)) {
    const int status = Value(answer).status;
    return status == kOk || status == kLeaseOrKeyMissing ||
                   status == kConditionFailed || status == kHistoryGone
               ? "ok"
               : "refused";
  }
  return ErrorOf(answer).code == ErrorCode::kUnavailable ? "unavailable"
                                                         : "unknown";
}

}  // namespace

PlatformStore::PlatformStore(boost::asio::io_context& loop, std::string address,
                             Observer observer)
    : address_(std::move(address)),
      client_(loop),
      observer_(std::move(observer)) {}

void PlatformStore::Call(const char* kind, HttpCall call,
                         HttpClient::Callback callback) {
  call.address = address_;
  client_.Call(call, [this, kind, callback = std::move(callback)](
                         Result<HttpAnswer> answer) {
    observer_(kind, OutcomeName(answer));
    callback(std::move(answer));
  });
}

void PlatformStore::Read(const std::string& key, Callback<StoreItem> callback) {
  Call(
      "read", MakeGet("/-/kv-key?key=" + Escape(key)),
      [callback = std::move(callback)](Result<HttpAnswer> answer) {
        if (Ok(answer) && Value(answer).status == kLeaseOrKeyMissing) {
          callback(StoreItem{});
          return;
        }
        if (auto error = CheckAnswer<StoreItem>(answer)) {
          callback(*error);
          return;
        }
        callback(ConvertBody<StoreItem>(Value(answer), [](const Json& json) {
          return StoreItem{ToEntry(json), json.value("as_of", std::int64_t{0})};
        }));
      });
}

void PlatformStore::List(const std::string& prefix,
                         Callback<StoreListing> callback) {
  ListPage(prefix, "", {}, std::move(callback));
}

void PlatformStore::ListPage(const std::string& prefix,
                             const std::string& after, StoreListing so_far,
                             Callback<StoreListing> callback) {
  std::string path = "/-/kv-range?prefix=" + Escape(prefix);
  if (!after.empty()) path += "&after=" + Escape(after);
  Call("list", MakeGet(path),
       [this, prefix, so_far = std::move(so_far),
        callback = std::move(callback)](Result<HttpAnswer> answer) mutable {
         if (auto error = CheckAnswer<StoreListing>(answer)) {
           callback(*error);
           return;
         }
         bool has_more = false;
         Result<StoreListing> page = ConvertBody<StoreListing>(
             Value(answer), [&has_more](const Json& json) {
               has_more = json.value("has_more", false);
               return StoreListing{ToEntries(json.at("entries")),
                                   json.at("as_of").get<std::int64_t>()};
             });
         if (!Ok(page)) {
           callback(std::move(page));
           return;
         }
         // The first page's revision: a watch from it misses no change.
         if (so_far.store_revision == 0) {
           so_far.store_revision = Value(page).store_revision;
         }
         for (KvEntry& entry : Value(page).entries) {
           so_far.entries.push_back(std::move(entry));
         }
         if (!has_more || so_far.entries.empty()) {
           callback(std::move(so_far));
           return;
         }
         const std::string last = so_far.entries.back().key;
         ListPage(prefix, last, std::move(so_far), std::move(callback));
       });
}

void PlatformStore::Watch(const std::string& prefix,
                          std::int64_t after_revision, Duration wait,
                          Callback<StoreChanges> callback) {
  HttpCall call = MakeGet("/-/kv-watch?prefix=" + Escape(prefix) +
                          "&after=" + std::to_string(after_revision) +
                          "&wait_ms=" + std::to_string(wait.count() / 1000));
  call.timeout = wait + kWatchMargin;
  Call(
      "watch", std::move(call),
      [callback = std::move(callback)](Result<HttpAnswer> answer) {
        if (auto error = CheckAnswer<StoreChanges>(answer)) {
          callback(*error);
          return;
        }
        callback(ConvertBody<StoreChanges>(Value(answer), [](const Json& json) {
          StoreChanges result;
          for (const Json& item : json.at("events")) {
            result.changes.push_back(
                {ToEntry(item), item.value("deleted", false)});
          }
          result.store_revision = json.at("as_of").get<std::int64_t>();
          return result;
        }));
      });
}

void PlatformStore::Commit(const StoreTransaction& transaction,
                           Callback<KvTxnReply> callback) {
  Json expected = Json::array();
  Json put = Json::array();
  for (const KvWrite& write : transaction.writes) {
    if (write.expected_revision >= 0) {
      expected.push_back(
          {{"key", write.key}, {"revision", write.expected_revision}});
    }
    Json item = {{"key", write.key}, {"value", Encode(write.value)}};
    if (write.lease != 0) item["lease"] = write.lease;
    put.push_back(std::move(item));
  }
  const Json body = {{"expected_rev", std::move(expected)},
                     {"put", std::move(put)},
                     {"remove", transaction.removals}};
  Call(
      "commit", MakePost("/-/kv-txn", body),
      [callback = std::move(callback)](Result<HttpAnswer> answer) {
        if (Ok(answer) && Value(answer).status == kConditionFailed) {
          callback(ConvertBody<KvTxnReply>(Value(answer), [](const Json& json) {
            return KvTxnReply{false, 0, ToEntries(json.at("entries"))};
          }));
          return;
        }
        if (auto error = CheckAnswer<KvTxnReply>(answer)) {
          callback(*error);
          return;
        }
        callback(ConvertBody<KvTxnReply>(Value(answer), [](const Json& json) {
          return KvTxnReply{true, json.at("revision").get<std::int64_t>(), {}};
        }));
      });
}

void PlatformStore::GrantLease(Duration time_to_live,
                               Callback<StoreLease> callback) {
  Call("grant_lease",
       MakePost("/-/kv-lease", {{"ttl_ms", time_to_live.count() / 1000}}),
       [callback = std::move(callback)](const Result<HttpAnswer>& answer) {
         callback(ToLease(answer, 0));
       });
}

void PlatformStore::KeepLease(std::int64_t lease,
                              Callback<StoreLease> callback) {
  Call("keep_lease", MakePost("/-/kv-keep/" + std::to_string(lease), nullptr),
       [lease,
        callback = std::move(callback)](const Result<HttpAnswer>& answer) {
         callback(ToLease(answer, lease));
       });
}

void PlatformStore::EndLease(std::int64_t lease) {
  HttpCall call = MakeGet("/-/kv-lease-end/" + std::to_string(lease));
  call.method = "DELETE";
  // A lease whose end is not heard of ends by itself.
  Call("end_lease", std::move(call), [](const Result<HttpAnswer>&) {});
}

}  // namespace pollenledge
