#pragma once

#include "pollenledge/connection/http_server.h"
#include "pollenledge/process/entry_service.h"

namespace pollenledge {

/// Serves the callers' HTTP API of an entry.
///
/// Endpoints: `POST /v1/chat/completions` and `POST /v1/completions`, with a
/// single response body or server-sent events; `/v1/services/<route>/...` for
/// plain services; `GET /v1/requests/<id>?offset=N` for the response of an
/// accepted request; `/healthz`, `/readyz` and `/metrics`. Errors are RFC 9457
/// problem documents. Thread-safe.
class CallerApi {
 public:
  /// `service` must outlive the API.
  CallerApi(const Settings& settings, EntryService* service)
      : settings_(settings), entry_service_(service) {}

  /// Handles one request and sends its response. Blocks the calling thread
  /// until the request has finished.
  void Handle(Poco::Net::HTTPServerRequest& request,
              Poco::Net::HTTPServerResponse& response);

 private:
  void HandleCompletion(CompletionApi api, const std::string& customer,
                        Poco::Net::HTTPServerRequest& request,
                        Poco::Net::HTTPServerResponse& response);
  void HandleService(const std::string& customer, const std::string& path,
                     Poco::Net::HTTPServerRequest& request,
                     Poco::Net::HTTPServerResponse& response);
  /// Sends the response of an earlier request from a byte offset on, and
  /// follows it until it is complete.
  void HandleFetch(const std::string& customer, const std::string& path,
                   Poco::Net::HTTPServerResponse& response);
  void HandleProbe(const std::string& path,
                   Poco::Net::HTTPServerResponse& response);

  const Settings settings_;
  EntryService* entry_service_;  ///< Not owned.
};

}  // namespace pollenledge
