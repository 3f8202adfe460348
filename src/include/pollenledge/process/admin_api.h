#pragma once

#include "pollenledge/connection/http_server.h"
#include "pollenledge/process/control_service.h"

namespace pollenledge {

/// The operators' HTTP interface of a control agent. Every call but the health
/// probe needs the operators' bearer token.
///
/// `GET /admin/v1/tables`, `POST /admin/v1/check`, `POST /admin/v1/apply`,
/// `GET /admin/v1/status`, `GET /admin/v1/timeline`, `GET /admin/v1/cost`,
/// `POST /admin/v1/drain`. Bodies and answers are JSON. Thread-safe.
class AdminApi {
 public:
  /// `service` must outlive the API.
  AdminApi(const Settings& settings, ControlService* service)
      : settings_(settings), service_(service) {}

  void Handle(Poco::Net::HTTPServerRequest& request,
              Poco::Net::HTTPServerResponse& response);

 private:
  bool Authorized(const Poco::Net::HTTPServerRequest& request) const;
  void HandleApply(const std::string& body, bool check_only,
                   Poco::Net::HTTPServerResponse& response);
  void HandleReport(const std::string& path,
                    Poco::Net::HTTPServerResponse& response);
  void HandleDrain(const std::string& body,
                   Poco::Net::HTTPServerResponse& response);

  const Settings settings_;
  ControlService* service_;
};

}  // namespace pollenledge
