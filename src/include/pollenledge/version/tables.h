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

/// The urgency of a piece of work, most urgent first.
enum class Rank : std::uint8_t { kUrgent = 0, kStandard = 1, kBackground = 2 };

inline constexpr std::size_t kRankCount = 3;

/// The name of `rank` as it stands in tables, logs and metrics.
const char* ToString(Rank rank);
/// The rank called `name`, if there is one.
std::optional<Rank> ParseRank(const std::string& name);

/// Latency target and guaranteed share of one rank.
struct RankPolicy {
  Duration first_token_target{910'000};
  Duration between_tokens_target{44'000};
  double floor_share = 0;  ///< Part of a pool this rank keeps in any flood.

  friend bool operator==(const RankPolicy&, const RankPolicy&) = default;
};

/// One team that sends requests. The API key itself is never stored.
struct Customer {
  std::string name;
  std::string key_sha256;  ///< Lower-case hexadecimal digest of the API key.
  double weight = 1;       ///< Relative share within a rank.
  std::int64_t tokens_per_s = 0;  ///< Limit over all entries.

  friend bool operator==(const Customer&, const Customer&) = default;
};

/// Whether work goes to a model engine or to a plain service.
enum class WorkKind : std::uint8_t { kModel, kService };

/// Which idempotency keys a route of non-idempotent work takes.
enum class KeyFormat : std::uint8_t {
  kAny,     ///< Any key; a resend is recognised for `key_retention`.
  kUuidV7,  ///< RFC 9562 version 7; keys older than the retention are refused.
};

/// One row of the routes table: which callers and which rank go to which pool.
struct Route {
  std::string name;
  WorkKind kind = WorkKind::kModel;
  std::string model;  ///< The `model` that callers name; empty for services.
  std::vector<std::string> customers;  ///< Empty means every customer.
  Rank rank = Rank::kStandard;
  std::string pool;
  bool idempotent = true;
  KeyFormat key_format = KeyFormat::kAny;
  Duration key_retention{0};

  friend bool operator==(const Route&, const Route&) = default;

  /// True if `customer` may use this route.
  bool Admits(const std::string& customer) const;
};

/// One row of a pool: a kind of instance in one failure domain.
struct PoolMember {
  std::string domain;
  std::string machine_class;
  bool reclaimable = true;
  std::int64_t price_micros_per_hour = 0;  ///< Millionths of the currency.
  int slots = 8;                           ///< Requests run at the same time.
  bool checks_fencing = false;  ///< Engine refuses outdated fencing numbers.

  friend bool operator==(const PoolMember&, const PoolMember&) = default;
};

/// One row of the pools table: the instances that serve one model.
struct Pool {
  std::string name;
  WorkKind kind = WorkKind::kModel;
  std::string model;
  std::vector<PoolMember> members;

  friend bool operator==(const Pool&, const Pool&) = default;

  /// The row for `domain`, `machine_class` and market, if there is one.
  const PoolMember* FindMember(const std::string& domain,
                               const std::string& machine_class,
                               bool reclaimable) const;
};

/// Both tables of one version, parsed and checked together. Immutable once
/// built; shared between threads by pointer to const.
struct Tables {
  std::uint64_t version = 0;
  std::vector<Customer> customers;
  std::array<RankPolicy, kRankCount> ranks;
  std::vector<Route> routes;
  std::vector<std::string> domains;
  std::vector<Pool> pools;

  friend bool operator==(const Tables&, const Tables&) = default;

  const Customer* FindCustomer(const std::string& name) const;
  const Pool* FindPool(const std::string& name) const;
  const Route* FindRoute(const std::string& name) const;
  /// The route for `model` that `customer` may use, of `rank` if one is named,
  /// else the first in table order.
  const Route* MatchModel(const std::string& customer, const std::string& model,
                          std::optional<Rank> rank) const;
  const RankPolicy& policy(Rank rank) const {
    return ranks[static_cast<std::size_t>(rank)];
  }
};

/// The two tables as operators write them, in YAML.
struct TableTexts {
  std::string routes;
  std::string pools;

  friend bool operator==(const TableTexts&, const TableTexts&) = default;
};

/// Both tables' texts with their version.
struct VersionedTexts {
  std::uint64_t version = 0;
  TableTexts texts;

  friend bool operator==(const VersionedTexts&,
                         const VersionedTexts&) = default;
};

/// What a check of both tables yields.
using TablesResult = std::variant<Tables, std::vector<FieldProblem>>;

/// Parses both tables and checks them together: unknown or doubled names,
/// routes without a pool, overlapping routes, unknown failure domains, limits
/// of zero. Every problem names file, line, field, what was found and what is
/// allowed.
TablesResult ParseTables(const TableTexts& texts, std::uint64_t version);

/// Every field that the tables' parser reads, for the reference page.
std::vector<FieldDescription> DescribeTableFields();

/// The customer whose key hashes to the digest on file. Compares digests in
/// constant time. Null if no customer has the key.
const Customer* Authenticate(const Tables& tables, const std::string& api_key);

/// Lower-case hexadecimal SHA-256 of `text`.
std::string Sha256Hex(const std::string& text);

/// One difference between two versions, for people.
struct TableChange {
  std::string row;   ///< For example `route "inspect"`.
  std::string kind;  ///< `added`, `removed` or `changed`.

  friend bool operator==(const TableChange&, const TableChange&) = default;
};

/// The rows that differ between `before` and `after`, in table order.
std::vector<TableChange> Diff(const Tables& before, const Tables& after);

}  // namespace pollenledge
