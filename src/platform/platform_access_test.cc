#include <gtest/gtest.h>

#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

#include "platform/platform_decode.h"
#include "pollenledge/process/forward_node.h"

// Who may send requests under a configuration, from the operator's document to
// the decision of a node.

namespace pollenledge {
namespace {

using Json = nlohmann::json;

constexpr Duration kKeyFreshness = std::chrono::seconds(5);
constexpr char kNoKey[] = "";
constexpr char kRevokedKey[] = "revoked";
constexpr char kForgedKey[] = "forged";

/// A configuration with a route that needs a key and a public one. Tests set
/// the list of customers ("tenants").
Json MakeConfig(std::uint64_t version) {
  const auto route = [](const std::string& name) {
    return Json{{"name", name},
                {"host", "h"},
                {"prefix", "/" + name + "/"},
                {"type", "non_idempotent"},
                {"service", "s"},
                {"public", name == "public"}};
  };
  return {{"version", version},
          {"routes", {route("keyed"), route("public")}},
          {"services", {{{"name", "s"}}}}};
}

Json WithCustomers(std::uint64_t version, const Json& customers) {
  Json config = MakeConfig(version);
  config["tenants"] = customers;
  return config;
}

const Json kOneCustomer = {{{"name", "c"}, {"api_keys", {kRevokedKey}}}};

/// A node that reads the configuration from the store, with a manual clock.
class AccessTest : public ::testing::Test {
 protected:
  AccessTest() : node_(Options()) {
    ForwardUpstreamInfo upstream;
    upstream.id.name = "u";
    upstream.address = "10.0.0.1:80";
    upstream.service = "s";
    upstream.slots = 100;
    Submit(forward_event::UpstreamsListed{{upstream}, 0, {}});
    Submit(forward_event::SuspectsRead{});
  }

  /// The node reads `config`. Returns false if it can't be used.
  bool Read(const Json& config) {
    Result<ForwardingTables> tables = DecodeTables(config.dump());
    if (!Ok(tables)) {
      Submit(forward_event::TablesReadFailed{now_});
      return false;
    }
    Submit(forward_event::TablesRead{
        std::make_shared<const ForwardingIndex>(std::move(Value(tables))),
        now_});
    return true;
  }

  /// Returns what becomes of a request: "runs as CUSTOMER" or the status of its
  /// rejection.
  std::string Send(const std::string& route, const std::string& key) {
    ForwardSpec spec;
    spec.host = "h";
    spec.path = "/" + route + "/x";
    spec.api_key = key;
    Submit(forward_event::RequestArrived{++last_id_, spec});
    for (const ForwardAction& action : actions_) {
      if (const auto* send = std::get_if<forward_action::SendAttempt>(&action))
        return "runs as " + send->customer;
      if (const auto* reject = std::get_if<forward_action::Reject>(&action))
        return std::to_string(reject->not_run.http_status);
    }
    return "waits";
  }

  void ExpectOnKeyedRoute(const std::string& result) {
    for (const char* key : {kNoKey, kRevokedKey, kForgedKey})
      EXPECT_EQ(Send("keyed", key), result) << "key \"" << key << "\"";
  }

  bool IsReady() const { return node_.IsReady(now_); }

  void AdvanceTime(Duration time) {
    now_ += time;
    Submit(forward_event::Ticked{});
  }

 private:
  static ForwardNodeOptions Options() {
    ForwardNodeOptions options;
    options.self.id = {"n", 1};
    options.key_freshness = kKeyFreshness;
    return options;
  }

  void Submit(const ForwardEvent& event) {
    actions_ = node_.Handle(event, {now_, WallTime()});
  }

  TimePoint now_{std::chrono::seconds(1000)};
  ForwardNode node_;
  ForwardId last_id_ = 0;
  std::vector<ForwardAction> actions_;
};

// Guards against requests that run without a customer because the list of
// customers has become empty (review/7, CONFIG and ROUTE).
TEST_F(AccessTest, AListWithoutCustomersAdmitsNobody) {
  {
    SCOPED_TRACE("one customer has a key");
    ASSERT_TRUE(Read(WithCustomers(1, kOneCustomer)));
    EXPECT_EQ(Send("keyed", kRevokedKey), "runs as c");
    EXPECT_EQ(Send("keyed", kForgedKey), "401");
  }
  {
    SCOPED_TRACE("a version takes the last customer away");
    ASSERT_TRUE(Read(WithCustomers(2, Json::array())));
    ExpectOnKeyedRoute("401");
    EXPECT_EQ(Send("public", kNoKey), "runs as ");
    EXPECT_TRUE(IsReady());
  }
  {
    SCOPED_TRACE("the node can't confirm that version any more");
    AdvanceTime(kKeyFreshness);
    EXPECT_FALSE(IsReady());
    ExpectOnKeyedRoute("401");
    EXPECT_EQ(Send("public", kNoKey), "runs as ");
  }
  {
    SCOPED_TRACE("a version has a customer again");
    ASSERT_TRUE(Read(WithCustomers(3, kOneCustomer)));
    EXPECT_EQ(Send("keyed", kRevokedKey), "runs as c");
    EXPECT_EQ(Send("keyed", kNoKey), "401");
  }
}

// Guards against the same from the start, before any version had a customer.
TEST_F(AccessTest, AFirstVersionWithoutCustomersAdmitsNobody) {
  ASSERT_TRUE(Read(WithCustomers(1, Json::array())));
  ExpectOnKeyedRoute("401");
  EXPECT_EQ(Send("public", kNoKey), "runs as ");
}

// Guards against a list of customers in another form that reads as "no keys are
// needed". Such a version is rejected, and the keys of the one before lapse.
TEST_F(AccessTest, AListOfCustomersThatCannotBeReadAdmitsNobody) {
  ASSERT_TRUE(Read(WithCustomers(1, kOneCustomer)));
  const std::vector<Json> unreadable = {nullptr, Json::object(), "", 0, false};
  for (const Json& customers : unreadable) {
    SCOPED_TRACE(customers.dump());
    EXPECT_FALSE(Read(WithCustomers(2, customers)));
    EXPECT_EQ(Send("keyed", kForgedKey), "401");
  }
  AdvanceTime(kKeyFreshness);
  EXPECT_EQ(Send("keyed", kRevokedKey), "503");
  EXPECT_EQ(Send("keyed", kForgedKey), "401");
  EXPECT_FALSE(IsReady());
}

// Guards against an empty key that lets requests without a key pass.
TEST_F(AccessTest, AnEmptyKeyBelongsToNobody) {
  const Json customers = {{{"name", "c"}, {"api_keys", {"", kRevokedKey}}}};
  ASSERT_TRUE(Read(WithCustomers(1, customers)));
  EXPECT_EQ(Send("keyed", kNoKey), "401");
  EXPECT_EQ(Send("keyed", kRevokedKey), "runs as c");
}

// Guards against a limit that can't be meant and reads as "no limit".
TEST_F(AccessTest, ALimitBelowZeroIsRejected) {
  for (const char* field : {"rate_per_s", "burst", "uncached_tokens"}) {
    SCOPED_TRACE(field);
    Json customers = kOneCustomer;
    customers[0][field] = 0;
    EXPECT_TRUE(Read(WithCustomers(1, customers)));
    customers[0][field] = -1;
    EXPECT_FALSE(Read(WithCustomers(2, customers)));
  }
}

// A configuration that doesn't have the list asks for no keys.
TEST_F(AccessTest, WithoutTheListNoKeyIsNeeded) {
  ASSERT_TRUE(Read(WithCustomers(1, kOneCustomer)));
  ASSERT_TRUE(Read(MakeConfig(2)));
  ExpectOnKeyedRoute("runs as ");
  AdvanceTime(kKeyFreshness);
  EXPECT_TRUE(IsReady());
  ExpectOnKeyedRoute("runs as ");
}

}  // namespace
}  // namespace pollenledge
