#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

#include "pollenledge/connection/async_store.h"
#include "pollenledge/connection/hedged_call.h"
#include "pollenledge/connection/http_client.h"

namespace pollenledge {

/// Implements `AsyncStore` with the HTTP API of the platform's metadata store.
///
/// The store may be restored from an older copy. It then begins a new era,
/// which all its responses name.
///
/// A call that is not a watch times out after 900 ms, a watch 1.5 s after its
/// wait has passed. Reads and listings are hedged (`HedgedCall`); results that
/// come after they have timed out are late results. Of a listing of several
/// pages none is reported. Not thread-safe: use it on the thread of `loop`.
class PlatformStore : public AsyncStore {
 public:
  /// Called at the end of each call with its kind and its outcome: "ok",
  /// "refused" (an unexpected status), "unavailable" or "unknown"; and with
  /// "late" when a response comes after one of the last two.
  using CallObserver =
      std::function<void(const char* call, const char* outcome)>;

  /// `address` is `host:port` of the store. `loop` must outlive this object.
  PlatformStore(boost::asio::io_context& loop, std::string address,
                CallObserver observer);

  void Read(const std::string& key, Callback<StoreItem> callback) override;
  void List(const std::string& prefix,
            Callback<StoreListing> callback) override;
  void Watch(const std::string& prefix, std::int64_t after_revision,
             Duration wait, Callback<StoreChanges> callback) override;
  void Commit(const StoreTransaction& transaction,
              Callback<KvTxnReply> callback) override;
  void GrantLease(Duration time_to_live,
                  Callback<StoreLease> callback) override;
  void RenewLease(std::int64_t lease, Callback<StoreLease> callback) override;
  void RevokeLease(std::int64_t lease) override;

  std::int64_t era() const override { return era_; }

 private:
  /// Reads the store's era from a response. Returns false if the response is of
  /// an earlier era than one that is known.
  bool UpdateEra(const char* kind, const HttpResponse& response);
  /// Returns true if `position` is of the current era, or one of the values
  /// that mean none.
  bool IsCurrent(std::int64_t position) const;
  std::int64_t ToPosition(std::int64_t revision) const;
  KvEntry ToEntry(const nlohmann::json& json) const;
  std::vector<KvEntry> ToEntries(const nlohmann::json& list) const;
  /// Invokes `callback` with `result` after this call has returned.
  template <typename T>
  void Post(Callback<T> callback, Result<T> result);
  /// Sends `call` and reports its outcome under `kind` to the observer. A
  /// response of an earlier era becomes an error, or is dropped if it is late.
  void Call(const char* kind, HttpCall call, HttpClient::Callback callback,
            HttpClient::LateCallback late_callback = nullptr);
  /// Makes a hedged call that reads.
  void CallRead(const char* kind, const HttpCall& call,
                HttpClient::Callback callback,
                HedgedCall::LateCallback late_callback);
  Result<StoreItem> ToItem(const Result<HttpResponse>& response) const;
  /// One page of a listing.
  struct Page {
    StoreListing listing;
    bool has_more = false;
  };
  Result<Page> ToPage(const Result<HttpResponse>& response) const;
  /// Reads the entries after `after_key` (empty: from the first), adds them to
  /// `collected` and continues until no entries are left.
  void ListPage(const std::string& prefix, const std::string& after_key,
                StoreListing collected, Callback<StoreListing> callback);
  /// Adds `page` to `collected`, and reads the next one if there is one.
  void OnPage(const std::string& prefix, Result<Page> page,
              StoreListing collected, Callback<StoreListing> callback);

  boost::asio::io_context& loop_;
  std::string address_;
  HttpClient client_;
  CallObserver call_observer_;
  std::int64_t era_ = 0;
};

}  // namespace pollenledge
