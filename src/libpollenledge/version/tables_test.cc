#include "pollenledge/version/tables.h"

#include <gtest/gtest.h>

#include <fstream>
#include <sstream>

#include "pollenledge/process/node_settings.h"
#include "pollenledge/process/settings.h"

namespace pollenledge {
namespace {

std::string ValidRoutes() {
  return R"(customers:
  - name: north
    key_sha256: 0000000000000000000000000000000000000000000000000000000000000001
routes:
  - name: inspect
    model: m
    rank: urgent
    pool: p
)";
}

std::string ValidPools() {
  return R"(domains: [d1]
pools:
  - name: p
    model: m
    members:
      - domain: d1
        class: l4
        price_per_hour: 0.3
)";
}

std::vector<FieldProblem> ProblemsOf(const std::string& routes,
                                     const std::string& pools) {
  const TablesResult result = ParseTables({routes, pools}, 1);
  const auto* problems = std::get_if<std::vector<FieldProblem>>(&result);
  return problems == nullptr ? std::vector<FieldProblem>() : *problems;
}

std::string Replaced(std::string text, const std::string& search,
                     const std::string& with) {
  const std::size_t at = text.find(search);
  EXPECT_NE(at, std::string::npos) << search;
  return text.replace(at, search.size(), with);
}

std::string ReadPage(const std::string& name) {
  std::ifstream file(std::string(POLLENLEDGE_SOURCE_DIR) + "/docs/" + name);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

TEST(TablesTest, ParsesValidTables) {
  const TablesResult result = ParseTables({ValidRoutes(), ValidPools()}, 7);
  const auto* tables = std::get_if<Tables>(&result);
  ASSERT_NE(tables, nullptr);
  EXPECT_EQ(tables->version, 7U);
  EXPECT_EQ(tables->FindPool("p")->members.at(0).price_micros_per_hour,
            300'000);
  EXPECT_EQ(tables->FindModelRoute("north", "m", std::nullopt)->name,
            "inspect");
  EXPECT_EQ(tables->FindModelRoute("north", "m", Rank::kBackground), nullptr);
}

TEST(TablesTest, ReportsEachProblemWithItsLocation) {
  struct Case {
    std::string search;
    std::string with;
    bool in_routes;
    std::string expected;
  };
  const Case cases[] = {
      {"pool: p", "pool: q", true,
       "routes.yaml:5: field "
       "\"routes[inspect].pool\": found \"q\""},
      {"rank: urgent", "rank: highest", true,
       "routes.yaml:7: field \"routes[inspect].rank\": found \"highest\", "
       "allowed: one of urgent, standard, background"},
      {"rank: urgent", "rnak: urgent", true,
       "found an unknown field, allowed: did you mean \"rank\"?"},
      {"00001\n", "00001\n    tokens_per_s: 0\n", true,
       "found \"0\", allowed: an integer from 1 to 100000000"},
      {"0000000001", "zz", true, "64 lower-case hex digits"},
      {"domain: d1", "domain: d9", false,
       "found domain \"d9\", allowed: a domain listed under \"domains\""},
      {"price_per_hour: 0.3", "price_per_hour: cheap", false,
       "pools.yaml:8: field \"pools[p].members[].price_per_hour\": found "
       "\"cheap\""},
      {"pools:", "pools: [", false, "pools.yaml:"},
  };
  for (const Case& c : cases) {
    const std::string routes =
        c.in_routes ? Replaced(ValidRoutes(), c.search, c.with) : ValidRoutes();
    const std::string pools =
        c.in_routes ? ValidPools() : Replaced(ValidPools(), c.search, c.with);
    const std::string text = ToString(ProblemsOf(routes, pools));
    EXPECT_NE(text.find(c.expected), std::string::npos)
        << "expected " << c.expected << "\nfound " << text;
  }
}

TEST(TablesTest, RejectsOverlappingRoutes) {
  std::string overlapping = ValidRoutes();
  overlapping +=
      "  - {name: other, model: m, rank: urgent, pool: p, customers: "
      "[north]}\n";
  EXPECT_NE(ToString(ProblemsOf(overlapping, ValidPools()))
                .find("as route \"inspect\""),
            std::string::npos);
}

// Guards against a route that admits every customer once the last one was taken
// off its list.
TEST(TablesTest, ARouteWithAnEmptyListAdmitsNobody) {
  const auto parse = [](const std::string& customers) {
    const std::string routes = Replaced(ValidRoutes(), "    rank: urgent\n",
                                        "    rank: urgent\n" + customers);
    return ParseTables({routes, ValidPools()}, 1);
  };
  const auto find = [](const TablesResult& result) {
    return std::get<Tables>(result).FindModelRoute("north", "m", std::nullopt);
  };
  {
    SCOPED_TRACE("without the list, all may use it");
    EXPECT_NE(find(parse("")), nullptr);
  }
  {
    SCOPED_TRACE("the customer is listed");
    EXPECT_NE(find(parse("    customers: [north]\n")), nullptr);
  }
  {
    SCOPED_TRACE("the list is empty");
    const TablesResult result = parse("    customers: []\n");
    EXPECT_EQ(find(result), nullptr);
    EXPECT_FALSE(std::get<Tables>(result).routes.at(0).Admits("north"));
  }
  {
    SCOPED_TRACE("the field has no value");
    EXPECT_TRUE(std::holds_alternative<std::vector<FieldProblem>>(
        parse("    customers:\n")));
  }
  {
    SCOPED_TRACE("a route that nobody may use overlaps with none");
    const std::string nobody =
        "  - {name: other, model: m, rank: urgent, pool: p, customers: []}\n";
    EXPECT_TRUE(ProblemsOf(ValidRoutes() + nobody, ValidPools()).empty());
  }
}

TEST(TablesTest, AuthenticatesApiKeysByDigest) {
  Tables tables;
  tables.customers.push_back({"north", Sha256Hex("secret"), 1, 1});
  EXPECT_EQ(Authenticate(tables, "secret"), &tables.customers[0]);
  EXPECT_EQ(Authenticate(tables, "Secret"), nullptr);
  EXPECT_EQ(Authenticate(tables, ""), nullptr);
}

TEST(TablesTest, DiffListsChangedRemovedAndAddedRows) {
  Tables before;
  before.routes.push_back({.name = "a"});
  before.routes.push_back({.name = "b"});
  Tables after = before;
  after.routes[0].rank = Rank::kUrgent;
  after.routes[1].name = "c";
  const std::vector<TableChange> expected = {{"route \"a\"", "changed"},
                                             {"route \"b\"", "removed"},
                                             {"route \"c\"", "added"}};
  EXPECT_EQ(DiffTables(before, after), expected);
}

TEST(SettingsTest, ReportsAllProblemsTogether) {
  const SettingsResult result = ParseSettings(
      "node: n\ncaller_address: nowhere\nkv_timeout_ms: -1\nnod: x\n",
      "s.yaml");
  const std::string text =
      ToString(std::get<std::vector<FieldProblem>>(result));
  for (const char* expected :
       {"s.yaml:2: field \"caller_address\": found \"nowhere\"",
        "s.yaml:3: field \"kv_timeout_ms\": found \"-1\", allowed: an integer "
        "from 10 to 60000",
        "s.yaml:4: field \"nod\": found an unknown field, allowed: did you "
        "mean \"node\"?",
        "field \"domain\": found nothing"}) {
    EXPECT_NE(text.find(expected), std::string::npos) << expected << "\n"
                                                      << text;
  }
}

// Expects a row on the reference page for every field, with its type,
// range, default and description.
void ExpectPageListsFields(const std::string& page,
                           const std::vector<FieldDescription>& fields) {
  const std::string text = ReadPage(page);
  for (const FieldDescription& field : fields) {
    const std::string row = "| `" + field.path + "` | " + field.type + " | " +
                            field.range + " | " + field.default_value + " | " +
                            field.description + " |";
    EXPECT_NE(text.find(row), std::string::npos) << page << " lacks: " << row;
  }
}

TEST(SettingsTest, ReferencePageListsEverySetting) {
  ExpectPageListsFields("settings.md", DescribeSettings());
}

TEST(SettingsTest, ReferencePageListsEveryNodeSetting) {
  ExpectPageListsFields("settings.md", DescribeNodeSettings());
}

TEST(SettingsTest, ReportsAllProblemsOfNodeSettings) {
  const NodeSettingsResult result = ParseNodeSettings(
      "node: n\ncaller_address: nowhere\nretry_ratio: -1\nnod: x\n", "n.yaml");
  ASSERT_TRUE(std::holds_alternative<std::vector<FieldProblem>>(result));
  const std::string text =
      ToString(std::get<std::vector<FieldProblem>>(result));
  for (const char* expected :
       {"n.yaml:2: field \"caller_address\": found \"nowhere\"",
        "n.yaml:3: field \"retry_ratio\"",
        "n.yaml:4: field \"nod\": found an unknown field",
        "field \"domain\": found nothing"}) {
    EXPECT_NE(text.find(expected), std::string::npos) << expected << "\n"
                                                      << text;
  }
}

TEST(TablesTest, ReferencePageListsEveryField) {
  ExpectPageListsFields("tables.md", DescribeTableFields());
}

}  // namespace
}  // namespace pollenledge
