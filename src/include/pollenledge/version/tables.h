#pragma once

#include <array>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "pollenledge/result.h"
#include "pollenledge/time.h"
#include "pollenledge/version/field_reader.h"

namespace pollenledge {

/// Urgency of a request, most urgent first.
enum class Rank : std::uint8_t { kUrgent = 0, kStandard = 1, kBackground = 2 };

inline constexpr std::size_t kRankCount = 3;

/// Returns the name of `rank` as used in tables, logs and metrics.
const char* ToString(Rank rank);
/// Returns the rank called `name`, if there is one.
std::optional<Rank> ParseRank(const std::string& name);

/// Latency targets and rank floor of one rank.
struct RankPolicy {
  Duration first_token_target{910'000};
  Duration inter_token_target{44'000};
  double floor_share = 0;  ///< Minimum share of a pool under overload.

  friend bool operator==(const RankPolicy&, const RankPolicy&) = default;
};

/// A team that sends requests. Its API key is never stored, only a digest.
struct Customer {
  std::string name;
  std::string key_sha256;  ///< Lower-case hexadecimal digest of the API key.
  double weight = 1;       ///< Relative share within a rank.
  std::int64_t tokens_per_s = 0;  ///< Limit over all entries together.

  friend bool operator==(const Customer&, const Customer&) = default;
};

/// Whether requests go to a model engine or to a plain service.
enum class WorkKind : std::uint8_t { kModel, kService };

/// Which idempotency keys a non-idempotent route accepts.
enum class KeyFormat : std::uint8_t {
  kAny,     ///< Any key; a retry is recognized for `key_retention`.
  kUuidV7,  ///< RFC 9562 version 7; keys older than the retention are rejected.
};

/// One row of the routes table: maps customers and a rank to a pool.
struct Route {
  std::string name;
  WorkKind kind = WorkKind::kModel;
  std::string model;  ///< The `model` in the request; empty for services.
  /// Customers that may use it; none if the list is empty. Without a list,
  /// every customer may.
  std::optional<std::vector<std::string>> customers;
  Rank rank = Rank::kStandard;
  std::string pool;
  bool idempotent = true;
  KeyFormat key_format = KeyFormat::kAny;
  Duration key_retention{0};  ///< How long an idempotency key is retained.

  friend bool operator==(const Route&, const Route&) = default;

  /// True if `customer` may use this route.
  bool Admits(const std::string& customer) const;
};

/// One row of a pool: an instance type in one failure domain.
struct PoolMember {
  std::string domain;
  std::string machine_class;
  bool reclaimable = true;
  /// In millionths of the currency unit.
  std::int64_t price_micros_per_hour = 0;
  int slots = 8;  ///< Requests that one instance runs concurrently.
  /// The engine rejects requests with an outdated fencing token.
  bool checks_fencing_token = false;

  friend bool operator==(const PoolMember&, const PoolMember&) = default;
};

/// One row of the pools table: the instances that serve one model or service.
struct Pool {
  std::string name;
  WorkKind kind = WorkKind::kModel;
  std::string model;
  std::vector<PoolMember> members;

  friend bool operator==(const Pool&, const Pool&) = default;

  /// Returns the row for `domain`, `machine_class` and market; null if there is
  /// none.
  const PoolMember* FindMember(const std::string& domain,
                               const std::string& machine_class,
                               bool reclaimable) const;
};

/// Both tables of one version, parsed and validated together. Immutable once
/// built; shared between threads by pointer to const.
struct Tables {
  std::uint64_t version = 0;
  std::vector<Customer> customers;
  std::array<RankPolicy, kRankCount> ranks;
  std::vector<Route> routes;
  std::vector<std::string> domains;
  std::vector<Pool> pools;

  friend bool operator==(const Tables&, const Tables&) = default;

  /// These return the row called `name`; null if there is none.
  const Customer* FindCustomer(const std::string& name) const;
  const Pool* FindPool(const std::string& name) const;
  const Route* FindRoute(const std::string& name) const;
  /// Returns the first route in table order that serves `model`, that
  /// `customer` may use and that has `rank`, if a rank is given; null if there
  /// is none.
  const Route* FindModelRoute(const std::string& customer,
                              const std::string& model,
                              std::optional<Rank> rank) const;
  const RankPolicy& policy(Rank rank) const {
    return ranks[static_cast<std::size_t>(rank)];
  }
};

/// The YAML source of the two tables, as written by operators.
struct TablesYaml {
  std::string routes;
  std::string pools;

  friend bool operator==(const TablesYaml&, const TablesYaml&) = default;
};

/// The YAML source of both tables with its version.
struct VersionedTablesYaml {
  std::uint64_t version = 0;
  TablesYaml yaml;

  friend bool operator==(const VersionedTablesYaml&,
                         const VersionedTablesYaml&) = default;
};

/// The parsed tables, or all problems found.
using TablesResult = std::variant<Tables, std::vector<FieldProblem>>;

/// Parses both tables and validates them together. Reports unknown or duplicate
/// names, routes without a pool, overlapping routes, unknown failure domains
/// and limits of zero. Each problem states file, line, field, the value found
/// and the allowed values.
TablesResult ParseTables(const TablesYaml& texts, std::uint64_t version);

/// Describes every field that the parser of the tables reads, for the reference
/// page.
std::vector<FieldDescription> DescribeTableFields();

/// Returns the customer whose stored digest matches `api_key`; null if there is
/// none. Compares digests in constant time.
const Customer* Authenticate(const Tables& tables, const std::string& api_key);

/// Returns the SHA-256 digest of `text` in lower-case hexadecimal.
std::string Sha256Hex(const std::string& text);

/// One difference between two versions of the tables, for display.
struct TableChange {
  std::string row;   ///< For example `route "inspect"`.
  std::string kind;  ///< `added`, `removed` or `changed`.

  friend bool operator==(const TableChange&, const TableChange&) = default;
};

/// Returns the rows that differ between `before` and `after`, in table order.
std::vector<TableChange> DiffTables(const Tables& before, const Tables& after);

}  // namespace pollenledge
