#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <string>

#include "pollenledge/connection/async_store.h"
#include "pollenledge/connection/http_client.h"

namespace pollenledge {

/// `AsyncStore` over the platform's metadata store.
class PlatformStore : public AsyncStore {
 public:
  /// Called for each call with its kind and "ok" or the error's kind.
  using Observer = std::function<void(const char* call, const char* outcome)>;

  PlatformStore(boost::asio::io_context& loop, std::string address,
                Observer observer);

  void Read(const std::string& key, Callback<StoreItem> callback) override;
  void List(const std::string& prefix,
            Callback<StoreListing> callback) override;
  void Watch(const std::string& prefix, std::int64_t after_revision,
             Duration wait, Callback<StoreChanges> callback) override;
  void Commit(const StoreTransaction& transaction,
              Callback<KvTxnReply> callback) override;
  void GrantLease(Duration time_to_live,
                  Callback<StoreLease> callback) override;
  void KeepLease(std::int64_t lease, Callback<StoreLease> callback) override;
  void EndLease(std::int64_t lease) override;

 private:
  void Call(const char* kind, HttpCall call, HttpClient::Callback callback);
  void ListPage(const std::string& prefix, const std::string& after,
                StoreListing so_far, Callback<StoreListing> callback);

  std::string address_;
  HttpClient client_;
  Observer observer_;
};

}  // namespace pollenledge
