#include "pollenledge/version/tables.h"

#include <openssl/crypto.h>
#include <openssl/sha.h>

#include <algorithm>
#include <cmath>
#include <map>
#include <set>

namespace pollenledge {
namespace {

constexpr char kRoutesFile[] = "routes.yaml";
constexpr char kPoolsFile[] = "pools.yaml";
constexpr std::int64_t kMaxTokensPerSecond = 100'000'000;
constexpr std::int64_t kMaxLatencyTargetMs = 3'600'000;
constexpr std::int64_t kDefaultKeyRetentionHours = 24;
constexpr std::int64_t kMaxKeyRetentionHours = 2160;
constexpr double kMicrosPerUnit = 1e6;

YAML::Node LoadOrReport(const std::string& text, FieldLog* log) {
  try {
    return YAML::Load(text);
  } catch (const YAML::Exception& error) {
    log->problems.push_back({log->file, error.mark.line + 1, "(document)",
                             error.msg, "a YAML mapping"});
    return YAML::Node(YAML::NodeType::Map);
  }
}

std::string IndexedPath(const std::string& list, const std::string& name) {
  return list + "[" + name + "]";
}

// Calls `visit` for each row of the document, or once for an empty row if the
// fields are only to be described.
template <typename Visit>
void ForEachRow(const YAML::Node& rows, bool describe, Visit visit) {
  if (describe) {
    visit(YAML::Node(YAML::NodeType::Map));
    return;
  }
  if (!rows.IsSequence()) return;
  for (const YAML::Node& row : rows) visit(row);
}

std::string RowName(const YAML::Node& row, bool describe) {
  if (describe) return "";
  if (row.IsMap() && row["name"].IsDefined() && row["name"].IsScalar()) {
    return row["name"].Scalar();
  }
  return "?";
}

Customer ParseCustomer(FieldReader* reader) {
  Customer customer;
  customer.name = reader->RequiredString("name", "Name of the customer.");
  customer.key_sha256 = reader->RequiredString(
      "key_sha256", "SHA-256 of the API key, 64 lower-case hex digits.");
  customer.weight =
      reader->Number("weight", 1, 0.01, 1000, "Relative share within a rank.");
  customer.tokens_per_s =
      reader->Integer("tokens_per_s", 10'000, 1, kMaxTokensPerSecond,
                      "Limit of tokens per second over all entries.");
  const bool is_digest = customer.key_sha256.size() == 64 &&
                         customer.key_sha256.find_first_not_of(
                             "0123456789abcdef") == std::string::npos;
  if (!customer.key_sha256.empty() && !is_digest) {
    reader->ReportProblem("key_sha256", "\"" + customer.key_sha256 + "\"",
                          "64 lower-case hex digits");
  }
  reader->ReportUnknownFields();
  return customer;
}

RankPolicy ParseRankPolicy(FieldReader* reader) {
  RankPolicy policy;
  policy.first_token_target = FromMilliseconds(static_cast<double>(
      reader->Integer("first_token_ms", 910, 1, kMaxLatencyTargetMs,
                      "Latency target of the first token, in milliseconds.")));
  policy.inter_token_target = FromMilliseconds(static_cast<double>(
      reader->Integer("between_tokens_ms", 44, 1, kMaxLatencyTargetMs,
                      "Latency target between two tokens, in milliseconds.")));
  policy.floor_share =
      reader->Number("floor_percent", 0, 0, 90,
                     "Minimum share of a pool under overload, in percent.") /
      100.0;
  reader->ReportUnknownFields();
  return policy;
}

Route ParseRoute(FieldReader* reader) {
  Route route;
  route.name = reader->RequiredString("name", "Name of the route.");
  const std::string kind = reader->Choice(
      "kind", {"model", "service"}, "model",
      "Whether a model engine or a plain service serves the route.");
  route.kind = kind == "model" ? WorkKind::kModel : WorkKind::kService;
  route.model = reader->String(
      "model", "", "Model named in the request; model routes only.");
  route.customers = reader->OptionalStringList(
      "customers", "all",
      "Customers that may use the route; an empty list admits none.");
  route.rank =
      *ParseRank(reader->Choice("rank", {"urgent", "standard", "background"},
                                "standard", "Urgency of the requests."));
  route.pool = reader->RequiredString("pool", "Pool that serves the route.");
  route.idempotent = reader->Bool("idempotent", true,
                                  "False if a request must run at most once.");
  route.key_format = reader->Choice("key_format", {"any", "uuidv7"}, "any",
                                    "Accepted idempotency keys; uuidv7 keys "
                                    "contain their creation time.") == "any"
                         ? KeyFormat::kAny
                         : KeyFormat::kUuidV7;
  route.key_retention = std::chrono::hours(reader->Integer(
      "key_retention_hours", kDefaultKeyRetentionHours, 1,
      kMaxKeyRetentionHours, "How long a key is retained, in hours."));
  if (route.kind == WorkKind::kModel && route.model.empty()) {
    reader->ReportProblem("model", "nothing", "a model name on a model route");
  }
  if (route.kind == WorkKind::kService && !route.model.empty()) {
    reader->ReportProblem("model", "\"" + route.model + "\"",
                          "no model on a service route");
  }
  reader->ReportUnknownFields();
  return route;
}

PoolMember ParseMember(FieldReader* reader) {
  PoolMember member;
  member.domain = reader->RequiredString("domain", "Failure domain.");
  member.machine_class =
      reader->RequiredString("class", "Machine class of the instances.");
  member.reclaimable =
      reader->Choice("market", {"reclaimable", "on_demand"}, "reclaimable",
                     "Purchase option of the instances.") == "reclaimable";
  const double price = reader->Number("price_per_hour", 0, 0, 1e6,
                                      "Price of one instance per hour.");
  member.price_micros_per_hour = std::llround(price * kMicrosPerUnit);
  member.slots = static_cast<int>(reader->Integer(
      "slots", 8, 1, 4096, "Requests that one instance runs concurrently."));
  member.checks_fencing_token =
      reader->Bool("checks_fencing", false,
                   "Whether the engine rejects outdated fencing tokens.");
  reader->ReportUnknownFields();
  return member;
}

Pool ParsePool(FieldReader* reader, const std::string& path, bool describe,
               FieldLog* log) {
  Pool pool;
  pool.name = reader->RequiredString("name", "Name of the pool.");
  const std::string kind = reader->Choice("kind", {"model", "service"}, "model",
                                          "What the instances run.");
  pool.kind = kind == "model" ? WorkKind::kModel : WorkKind::kService;
  pool.model = reader->String("model", "", "Model that the instances load.");
  const YAML::Node members = reader->Sequence(
      "members", "Instance types in the pool, by failure domain.");
  ForEachRow(members, describe, [&](const YAML::Node& row) {
    FieldReader member_reader(row, path + ".members[]", log);
    pool.members.push_back(ParseMember(&member_reader));
  });
  if (pool.members.empty()) {
    reader->ReportProblem("members", "no rows", "at least one row");
  }
  reader->ReportUnknownFields();
  return pool;
}

void ParseRoutesTable(const std::string& text, bool describe, FieldLog* log,
                      Tables* tables, std::vector<int>* route_lines) {
  FieldReader top(LoadOrReport(text, log), "", log);
  const YAML::Node customers =
      top.Sequence("customers", "Teams that send requests.");
  ForEachRow(customers, describe, [&](const YAML::Node& row) {
    FieldReader reader(row, IndexedPath("customers", RowName(row, describe)),
                       log);
    tables->customers.push_back(ParseCustomer(&reader));
  });
  FieldReader ranks(
      top.Mapping("ranks", "Latency targets and floor of each rank."), "ranks",
      log);
  for (std::size_t i = 0; i < kRankCount; ++i) {
    const std::string name = ToString(static_cast<Rank>(i));
    FieldReader reader(ranks.Mapping(name, "Policy of rank " + name + "."),
                       "ranks." + name, log);
    tables->ranks[i] = ParseRankPolicy(&reader);
  }
  ranks.ReportUnknownFields();
  const YAML::Node routes = top.Sequence("routes", "Rows of the routes table.");
  ForEachRow(routes, describe, [&](const YAML::Node& row) {
    FieldReader reader(row, IndexedPath("routes", RowName(row, describe)), log);
    tables->routes.push_back(ParseRoute(&reader));
    route_lines->push_back(reader.line());
  });
  top.ReportUnknownFields();
}

void ParsePoolsTable(const std::string& text, bool describe, FieldLog* log,
                     Tables* tables, std::vector<int>* pool_lines) {
  FieldReader top(LoadOrReport(text, log), "", log);
  tables->domains = top.StringList("domains", "Names of all failure domains.");
  const YAML::Node pools = top.Sequence("pools", "Rows of the pools table.");
  ForEachRow(pools, describe, [&](const YAML::Node& row) {
    const std::string path = IndexedPath("pools", RowName(row, describe));
    FieldReader reader(row, path, log);
    tables->pools.push_back(ParsePool(&reader, path, describe, log));
    pool_lines->push_back(reader.line());
  });
  top.ReportUnknownFields();
}

template <typename Rows>
void CheckUniqueNames(const Rows& rows, const std::string& file,
                      const std::string& list, std::vector<FieldProblem>* out) {
  std::set<std::string> seen;
  for (const auto& row : rows) {
    if (seen.insert(row.name).second) continue;
    out->push_back({file, 0, IndexedPath(list, row.name) + ".name",
                    "duplicate name \"" + row.name + "\"", "unique names"});
  }
}

bool AdmitsAnyone(const Route& route) {
  return !route.customers.has_value() || !route.customers->empty();
}

bool HaveCommonCustomer(const Route& a, const Route& b) {
  if (!a.customers.has_value()) return AdmitsAnyone(b);
  if (!b.customers.has_value()) return AdmitsAnyone(a);
  return std::any_of(a.customers->begin(), a.customers->end(),
                     [&](const std::string& name) { return b.Admits(name); });
}

bool RoutesOverlap(const Route& a, const Route& b) {
  if (a.kind != WorkKind::kModel || b.kind != WorkKind::kModel) return false;
  if (a.model != b.model || a.rank != b.rank) return false;
  return HaveCommonCustomer(a, b);
}

void CheckRoutes(const Tables& tables, const std::vector<int>& lines,
                 std::vector<FieldProblem>* out) {
  for (std::size_t i = 0; i < tables.routes.size(); ++i) {
    const Route& route = tables.routes[i];
    const std::string path = IndexedPath("routes", route.name);
    const Pool* pool = tables.FindPool(route.pool);
    if (pool == nullptr) {
      out->push_back({kRoutesFile, lines[i], path + ".pool",
                      "\"" + route.pool + "\"",
                      "a pool that exists in " + std::string(kPoolsFile)});
    } else if (pool->kind != route.kind || pool->model != route.model) {
      out->push_back(
          {kRoutesFile, lines[i], path + ".pool",
           "\"" + route.pool + "\", which has a different kind or model",
           "a pool with the kind and model of the route"});
    }
    for (const std::string& name :
         route.customers.value_or(std::vector<std::string>())) {
      if (tables.FindCustomer(name) != nullptr) continue;
      out->push_back({kRoutesFile, lines[i], path + ".customers",
                      "\"" + name + "\"", "a customer defined in this table"});
    }
    for (std::size_t j = 0; j < i; ++j) {
      if (!RoutesOverlap(tables.routes[j], route)) continue;
      out->push_back({kRoutesFile, lines[i], path,
                      "the same customer, model and rank as route \"" +
                          tables.routes[j].name + "\"",
                      "at most one route for each customer, model and rank"});
    }
  }
}

void CheckPools(const Tables& tables, const std::vector<int>& lines,
                std::vector<FieldProblem>* out) {
  const std::set<std::string> domains(tables.domains.begin(),
                                      tables.domains.end());
  for (std::size_t i = 0; i < tables.pools.size(); ++i) {
    for (const PoolMember& member : tables.pools[i].members) {
      if (member.domain.empty() || domains.count(member.domain) > 0) continue;
      out->push_back({kPoolsFile, lines[i],
                      IndexedPath("pools", tables.pools[i].name) + ".members",
                      "domain \"" + member.domain + "\"",
                      "a domain listed under \"domains\""});
    }
  }
}

void CheckRankFloors(const Tables& tables, std::vector<FieldProblem>* out) {
  double sum = 0;
  for (const RankPolicy& policy : tables.ranks) sum += policy.floor_share;
  if (sum <= 0.9) return;
  out->push_back({kRoutesFile, 0, "ranks", "floors with a sum above 90%",
                  "a sum of at most 90%"});
}

template <typename Rows>
void DiffRows(const std::string& kind, const Rows& before, const Rows& after,
              std::vector<TableChange>* out) {
  const auto find = [](const Rows& rows, const std::string& name) {
    return std::find_if(rows.begin(), rows.end(),
                        [&](const auto& row) { return row.name == name; });
  };
  for (const auto& row : before) {
    const auto other = find(after, row.name);
    const std::string label = kind + " \"" + row.name + "\"";
    if (other == after.end()) {
      out->push_back({label, "removed"});
    } else if (!(*other == row)) {
      out->push_back({label, "changed"});
    }
  }
  for (const auto& row : after) {
    if (find(before, row.name) == before.end()) {
      out->push_back({kind + " \"" + row.name + "\"", "added"});
    }
  }
}

}  // namespace

const char* ToString(Rank rank) {
  switch (rank) {
    case Rank::kUrgent:
      return "urgent";
    case Rank::kStandard:
      return "standard";
    case Rank::kBackground:
      return "background";
  }
  return "?";
}

std::optional<Rank> ParseRank(const std::string& name) {
  for (std::size_t i = 0; i < kRankCount; ++i) {
    const Rank rank = static_cast<Rank>(i);
    if (name == ToString(rank)) return rank;
  }
  return std::nullopt;
}

bool Route::Admits(const std::string& customer) const {
  return !customers.has_value() ||
         std::find(customers->begin(), customers->end(), customer) !=
             customers->end();
}

const PoolMember* Pool::FindMember(const std::string& domain,
                                   const std::string& machine_class,
                                   bool reclaimable) const {
  for (const PoolMember& member : members) {
    if (member.domain == domain && member.machine_class == machine_class &&
        member.reclaimable == reclaimable) {
      return &member;
    }
  }
  return nullptr;
}

const Customer* Tables::FindCustomer(const std::string& name) const {
  for (const Customer& customer : customers) {
    if (customer.name == name) return &customer;
  }
  return nullptr;
}

const Pool* Tables::FindPool(const std::string& name) const {
  for (const Pool& pool : pools) {
    if (pool.name == name) return &pool;
  }
  return nullptr;
}

const Route* Tables::FindRoute(const std::string& name) const {
  for (const Route& route : routes) {
    if (route.name == name) return &route;
  }
  return nullptr;
}

const Route* Tables::FindModelRoute(const std::string& customer,
                                    const std::string& model,
                                    std::optional<Rank> rank) const {
  for (const Route& route : routes) {
    if (route.kind != WorkKind::kModel || route.model != model) continue;
    if (rank.has_value() && route.rank != *rank) continue;
    if (route.Admits(customer)) return &route;
  }
  return nullptr;
}

TablesResult ParseTables(const TablesYaml& texts, std::uint64_t version) {
  FieldLog routes_log{kRoutesFile, {}, {}};
  FieldLog pools_log{kPoolsFile, {}, {}};
  Tables tables;
  tables.version = version;
  std::vector<int> route_lines;
  std::vector<int> pool_lines;
  ParseRoutesTable(texts.routes, false, &routes_log, &tables, &route_lines);
  ParsePoolsTable(texts.pools, false, &pools_log, &tables, &pool_lines);
  std::vector<FieldProblem> problems = std::move(routes_log.problems);
  problems.insert(problems.end(), pools_log.problems.begin(),
                  pools_log.problems.end());
  CheckUniqueNames(tables.customers, kRoutesFile, "customers", &problems);
  CheckUniqueNames(tables.routes, kRoutesFile, "routes", &problems);
  CheckUniqueNames(tables.pools, kPoolsFile, "pools", &problems);
  CheckRoutes(tables, route_lines, &problems);
  CheckPools(tables, pool_lines, &problems);
  CheckRankFloors(tables, &problems);
  if (!problems.empty()) return problems;
  return tables;
}

std::vector<FieldDescription> DescribeTableFields() {
  FieldLog log{"", {}, {}};
  Tables tables;
  std::vector<int> lines;
  ParseRoutesTable("{}", true, &log, &tables, &lines);
  ParsePoolsTable("{}", true, &log, &tables, &lines);
  return log.fields;
}

std::string Sha256Hex(const std::string& text) {
  std::array<unsigned char, SHA256_DIGEST_LENGTH> digest;
  SHA256(reinterpret_cast<const unsigned char*>(text.data()), text.size(),
         digest.data());
  static constexpr char kDigits[] = "0123456789abcdef";
  std::string hex;
  for (const unsigned char byte : digest) {
    hex += kDigits[byte >> 4];
    hex += kDigits[byte & 15];
  }
  return hex;
}

const Customer* Authenticate(const Tables& tables, const std::string& api_key) {
  const std::string digest = Sha256Hex(api_key);
  const Customer* match = nullptr;
  // Compares every customer, so that the time taken does not reveal which one
  // matched.
  for (const Customer& customer : tables.customers) {
    if (customer.key_sha256.size() == digest.size() &&
        CRYPTO_memcmp(customer.key_sha256.data(), digest.data(),
                      digest.size()) == 0) {
      match = &customer;
    }
  }
  return match;
}

std::vector<TableChange> DiffTables(const Tables& before, const Tables& after) {
  std::vector<TableChange> changes;
  DiffRows("customer", before.customers, after.customers, &changes);
  DiffRows("route", before.routes, after.routes, &changes);
  DiffRows("pool", before.pools, after.pools, &changes);
  if (before.ranks != after.ranks) changes.push_back({"ranks", "changed"});
  if (before.domains != after.domains) {
    changes.push_back({"domains", "changed"});
  }
  return changes;
}

}  // namespace pollenledge
