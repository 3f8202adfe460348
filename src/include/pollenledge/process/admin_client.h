#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "pollenledge/process/cost_ledger.h"
#include "pollenledge/process/time_line.h"
#include "pollenledge/result.h"
#include "pollenledge/version/tables.h"

namespace pollenledge {

/// The status of one node, as `pollenctl status` shows it.
struct NodeStatus {
  std::string admin_address;
  bool reached = false;
  /// The node's own status report. If the node could not be reached, its
  /// member record as another node knows it, or null.
  nlohmann::json status;
};

/// Client of the admin API, used by `pollenctl`. Each call blocks until the
/// response arrives or the timeout of 10 s expires. Not thread-safe.
class AdminClient {
 public:
  /// `address` is the `host:port` of one node's admin API; `token` is the
  /// operators' bearer token.
  AdminClient(std::string address, std::string token)
      : address_(std::move(address)), token_(std::move(token)) {}

  /// Returns the JSON body of a response with status 200. Returns an error for
  /// any other status, and also if the node cannot be reached or does not
  /// return JSON.
  Result<nlohmann::json> Get(const std::string& path) const;
  /// Returns the JSON body of the response and sets `status` to its HTTP
  /// status. Returns an error if the node cannot be reached, does not return
  /// JSON, or rejects the token.
  Result<nlohmann::json> Post(const std::string& path,
                              const nlohmann::json& body, int* status) const;

  /// Queries the status of the node at `address`, then of every member that
  /// this node knows, one after another. Members that left are skipped.
  std::vector<NodeStatus> QueryAllNodes() const;
  /// Returns the merged timeline of all nodes that can be reached.
  std::vector<TimeLineEvent> QueryFleetTimeLine() const;
  /// Returns the cost of the requests of all reachable nodes, as lines that
  /// add up to the bill. Sets `total` to the bill in millionths of the
  /// currency. Returns an error if a reachable node's cost cannot be read.
  Result<std::vector<CostLine>> QueryFleetCost(std::int64_t* total) const;

 private:
  std::string address_;
  std::string token_;
};

}  // namespace pollenledge
