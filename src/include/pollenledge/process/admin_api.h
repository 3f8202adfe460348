#pragma once

#include "pollenledge/connection/http_server.h"
#include "pollenledge/process/control_service.h"

namespace pollenledge {

/// Serves the operators' HTTP API of a control agent. Every endpoint except
/// the health probe requires the operators' bearer token.
///
/// Endpoints: `GET /healthz`, `GET /admin/v1/tables`, `POST /admin/v1/check`,
/// `POST /admin/v1/apply`, `GET /admin/v1/status`, `GET /admin/v1/timeline`,
/// `GET /admin/v1/cost` and `POST /admin/v1/drain`. Requests and responses are
/// JSON; errors are RFC 9457 problem documents. Thread-safe.
class AdminApi {
 public:
  /// `service` must outlive the API.
  AdminApi(const Settings& settings, ControlService* service)
      : settings_(settings), control_service_(service) {}

  /// Handles one request and sends its response. Called from several threads.
  void Handle(Poco::Net::HTTPServerRequest& request,
              Poco::Net::HTTPServerResponse& response);

 private:
  /// Returns true if the request carries the operators' token. Compares
  /// digests in constant time.
  bool IsAuthorized(const Poco::Net::HTTPServerRequest& request) const;
  /// Validates the tables in `body` and, unless `check_only`, applies them.
  void HandleCheckOrApply(const std::string& body, bool check_only,
                          Poco::Net::HTTPServerResponse& response);
  /// Serves status, timeline and cost from the entry's report.
  void HandleReport(const std::string& path,
                    Poco::Net::HTTPServerResponse& response);
  void HandleDrain(const std::string& body,
                   Poco::Net::HTTPServerResponse& response);

  const Settings settings_;
  ControlService* control_service_;  ///< Not owned.
};

}  // namespace pollenledge
