#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "pollenledge/process/cost_ledger.h"
#include "pollenledge/process/time_line.h"
#include "pollenledge/result.h"
#include "pollenledge/version/tables.h"

namespace pollenledge {

/// One node as `pollenctl status` shows it.
struct NodeStatus {
  std::string admin_address;
  bool reached = false;
  nlohmann::json status;  ///< As the node reports it; empty if not reached.
};

/// The operators' side of the admin API. Blocks; not thread-safe.
class AdminClient {
 public:
  AdminClient(std::string address, std::string token)
      : address_(std::move(address)), token_(std::move(token)) {}

  /// The answer's JSON, whatever its status; `status` is set. An error if the
  /// node cannot be reached or does not answer JSON.
  Result<nlohmann::json> Get(const std::string& path) const;
  Result<nlohmann::json> Post(const std::string& path,
                              const nlohmann::json& body, int* status) const;

  /// Every node that this one knows, itself first, asked one by one.
  std::vector<NodeStatus> AllNodes() const;
  /// The merged time line of all nodes that can be reached.
  std::vector<TimeLineEvent> TimeLineOfAll() const;
  /// The cost of all nodes' requests, as lines that add up to the bill.
  Result<std::vector<CostLine>> CostOfAll(std::int64_t* total) const;

 private:
  std::string address_;
  std::string token_;
};

}  // namespace pollenledge
