#include <gtest/gtest.h>

#include "platform/platform_decode.h"
#include "platform/platform_headers.h"

namespace pollenledge {
namespace {

constexpr char kConfig[] = R"({"version":7,"routes":[
  {"name":"r1","host":"h.example","prefix":"/a/","type":"streaming",
   "timeout_ms":15000,"slo_ms":1500,"priority":2,"attempts":2,"public":false,
   "backends":[{"service":"s1","weight":90},{"service":"s2","weight":10}],
   "affinity":true,"resumable":true,"itl_target_ms":300},
  {"name":"r2","host":"h.example","prefix":"/a/b/","type":"new-kind",
   "timeout_ms":800,"service":"s2"}],
  "services":[{"name":"s1","health_path":"/healthz","max_conns":620,
   "engine":{"batch_slots":128,"kv_capacity":948574,"stride":5,"moves":true,"most":12,"kv_bytes":131072,
    "bandwidth_mbps":10000},
   "scaling":{"min":1,"max":6,"boot_s":4.0,"spot_price":0.18,
              "zone_prices":{"z1":1.0,"z2":0.8}}},{"name":"s2"}],
  "limits":{"max_header_bytes":16384,"idle_timeout_ms":15000},
  "tenants":[{"name":"t","api_keys":["k1","k2"],"priority":1,
              "unit":"token_count","uncached_tokens":200,
              "rate_per_s":100,"burst":50}]})";

TEST(PlatformDecode, DecodesRoutesServicesAndCustomers) {
  const Result<ForwardingTables> tables = DecodeTables(kConfig);
  ASSERT_TRUE(Ok(tables)) << ErrorOf(tables).message;
  const ForwardingIndex index(Value(tables));
  const ForwardingRoute* route = index.FindRoute("h.example:80", "/a/x");
  ASSERT_NE(route, nullptr);
  EXPECT_EQ(route->kind, RouteKind::kStreaming);
  EXPECT_EQ(route->services.size(), 2U);
  EXPECT_EQ(route->latency_target, std::chrono::milliseconds(1500));
  // The longest prefix wins. An unknown route type counts as non-idempotent, so
  // its requests are not retried.
  EXPECT_EQ(index.FindRoute("h.example", "/a/b/c")->kind,
            RouteKind::kNonIdempotent);
  EXPECT_EQ(index.FindRoute("other", "/a/x"), nullptr);
  const ForwardingCustomer* customer = index.FindCustomer("k2");
  ASSERT_NE(customer, nullptr);
  EXPECT_TRUE(customer->limit_counts_tokens);
  EXPECT_EQ(index.FindCustomer("k3"), nullptr);
  const ForwardingService* service = index.tables().FindService("s1");
  EXPECT_EQ(service->engine->slots, 128);
  EXPECT_EQ(service->engine->max_cache_event_calls, 12);
  EXPECT_EQ(service->engine->kv_bytes_per_token, 131072);
  EXPECT_EQ(service->engine->copy_bandwidth_mbps, 10000);
  EXPECT_EQ(service->scaling->domain_prices_per_s.at("z2"), 0.8);
}

// Guards against entries whose version is missing or of another type.
TEST(PlatformDecode, DecodesTheSoftwareVersionOfAnUpstream) {
  const auto decode = [](const std::string& version) {
    return DecodeUpstream(
        {"servers/i-1",
         R"({"service":"s","address":"10.0.0.1:80","zone":"z","state":"ready")" +
             version + "}",
         3});
  };
  EXPECT_EQ(Value(decode(R"(,"version":"v1.1")")).software_version, "v1.1");
  EXPECT_EQ(Value(decode(R"(,"version":2)")).software_version, "2");
  EXPECT_EQ(Value(decode("")).software_version, "");
  for (const char* version : {"null", "1.5", "[]", "{}", "true"}) {
    EXPECT_FALSE(Ok(decode(std::string(R"(,"version":)") + version)))
        << version;
  }
}

TEST(PlatformHeadersTest, DecodesHowManyRejectionsAnUpstreamSurvives) {
  const auto decode = [](const std::string& text) {
    HttpHead head;
    head.status = 200;
    if (text != "none") head.fields = {{"Server-Brittle", text}};
    return PlatformHeaderCodec().decode_response(head).signals;
  };
  EXPECT_EQ(decode("6").max_rejections_per_s, 6);
  EXPECT_FALSE(decode("6").max_rejections_is_unreadable);
  EXPECT_EQ(decode("none").max_rejections_per_s, std::nullopt);
  for (const char* text : {"", "x", "-1", "nan", "1e999"}) {
    EXPECT_TRUE(decode(text).max_rejections_is_unreadable) << text;
  }
}

// A relayed request must reach the other node as its caller sent it, but with
// the time that is left and the point to resume at.
TEST(PlatformHeadersTest, EncodesARequestForAnotherNode) {
  HttpHead head;
  head.fields = {{"Host", "h"},
                 {"Api-Key", "k"},
                 {"Attempt-Id", "a"},
                 {"Deadline-Ms", "9000"},
                 {"Connection", "X-A, Api-Key"},
                 {"X-A", "1"},
                 {"Min-Tables-Version", "99"},
                 {"Max-Runs", "99"},
                 {"Tenant", "other"}};
  const std::vector<HttpField> fields = PlatformHeaderCodec().encode_relay(
      head, {std::chrono::milliseconds(1500), 7, "first", 12, 2});
  const std::vector<std::pair<std::string, std::string>> expected = {
      {"Host", "h"},           {"Api-Key", "k"},
      {"Attempt-Id", "a"},     {"Tenant", "other"},
      {"Deadline-Ms", "1500"}, {"Last-Event-Id", "7"},
      {"Resumes", "first"},    {"Min-Tables-Version", "12"},
      {"Max-Runs", "2"},       {"Connection", "Min-Tables-Version, Max-Runs"}};
  ASSERT_EQ(fields.size(), expected.size());
  for (std::size_t i = 0; i < fields.size(); ++i) {
    EXPECT_EQ(fields[i].name, expected[i].first);
    EXPECT_EQ(fields[i].value, expected[i].second);
  }
}

// The version that a relayed request asks for is the nodes' own: an upstream
// doesn't get it, and a caller that states one gets no error.
TEST(PlatformHeadersTest, TheNeededTablesVersionStaysBetweenNodes) {
  const ForwardingCodec codec = PlatformHeaderCodec();
  HttpHead head;
  head.fields = {{"Host", "h"}, {"Min-Tables-Version", "12"}};
  ASSERT_TRUE(Ok(codec.decode_request(head)));
  EXPECT_EQ(Value(codec.decode_request(head)).min_tables_version, 12U);
  for (const HttpField& field : codec.encode_attempt(head, {})) {
    EXPECT_NE(field.name, "Min-Tables-Version");
  }
  head.fields.back().value = "soon";
  ASSERT_TRUE(Ok(codec.decode_request(head)));
  EXPECT_EQ(Value(codec.decode_request(head)).min_tables_version, 0U);
}

// The same of how often a relayed request may be run.
TEST(PlatformHeadersTest, TheAllowedRunsStayBetweenNodes) {
  const ForwardingCodec codec = PlatformHeaderCodec();
  HttpHead head;
  head.fields = {{"Host", "h"}, {"Max-Runs", "2"}};
  EXPECT_EQ(Value(codec.decode_request(head)).max_runs, 2);
  for (const HttpField& field : codec.encode_attempt(head, {})) {
    EXPECT_NE(field.name, "Max-Runs");
  }
  head.fields.back().value = "all";
  EXPECT_EQ(Value(codec.decode_request(head)).max_runs, std::nullopt);
}

TEST(PlatformHeadersTest, DecodesTheIncarnationOfAReport) {
  const auto decode = PlatformHeaderCodec().decode_incarnation;
  EXPECT_EQ(decode(R"({"busy":false,"born":1772393587012})"), 1772393587012U);
  for (const char* report :
       {"", "{", "[]", "{}", R"({"born":"1"})", R"({"born":-1})"}) {
    EXPECT_EQ(decode(report), std::nullopt) << report;
  }
}

// Guards against calls for cache events that an upstream does not understand or
// that it charges.
TEST(PlatformHeadersTest, EncodesTheCallForCacheEvents) {
  const HttpHead call = PlatformHeaderCodec().encode_cache_events_call(
      17, std::chrono::milliseconds(1000));
  EXPECT_EQ(call.method, "GET");
  EXPECT_EQ(call.target, "/-/kv-events?since=17");
  ASSERT_EQ(call.fields.size(), 1U);
  EXPECT_EQ(call.fields[0].name, "Wait-Ms");
  EXPECT_EQ(call.fields[0].value, "1000");
}

// Guards against a malformed response that is taken for events.
TEST(PlatformHeadersTest, DecodesCacheEvents) {
  const auto decode = PlatformHeaderCodec().decode_cache_events;
  EXPECT_EQ(decode(R"({"epoch":3,"next":9,"lost":2,"events":[
      [7,"+","","00000000000000ff",5382,"m"],[8,"-","","a",628,"m"]]})"),
            (PromptCacheEvents{
                3, 9, 2, {{7, true, 255, 5382}, {8, false, 10, 628}}}));
  EXPECT_EQ(decode(R"({"epoch":3,"next":9,"lost":false,"events":[]})"),
            (PromptCacheEvents{3, 9, 0, {}}));
  const auto named = decode(R"({"epoch":"x","next":9,"lost":0,"events":[]})");
  const auto other = decode(R"({"epoch":"y","next":9,"lost":0,"events":[]})");
  ASSERT_TRUE(named.has_value() && other.has_value());
  EXPECT_NE(named->epoch, other->epoch);
  for (const char* malformed :
       {"", "{", "[]", "{}", R"({"epoch":3,"next":9})",
        R"({"epoch":null,"next":9,"events":[]})",
        R"({"epoch":3,"next":-1,"events":[]})",
        R"({"epoch":3,"next":9,"events":[7]})",
        R"({"epoch":3,"next":9,"events":[[7,"+","","a"]]})",
        R"({"epoch":3,"next":9,"events":[[7,"*","","a",1,"m"]]})",
        R"({"epoch":3,"next":9,"events":[[7,"+","","xyz",1,"m"]]})",
        R"({"epoch":3,"next":9,"events":[[7,"+","","a",-1,"m"]]})",
        R"({"epoch":3,"next":9,"events":[[7,"+","","a",1e300,"m"]]})"}) {
    EXPECT_EQ(decode(malformed), std::nullopt) << malformed;
  }
}

TEST(PlatformHeadersTest, DecodesWhichAttemptBeganAStream) {
  HttpHead head;
  head.fields = {{"Attempt-Id", "b"}, {"Last-Event-Id", "7"}, {"Resumes", "a"}};
  const Result<ForwardSpec> spec = PlatformHeaderCodec().decode_request(head);
  ASSERT_TRUE(Ok(spec));
  EXPECT_EQ(Value(spec).first_attempt, "a");
  EXPECT_EQ(Value(spec).last_event_id, 7);
}

// Guards against an odd entry of another writer that ends the process or is
// used as an upstream.
TEST(PlatformDecode, OddEntriesOfOtherWritersAreErrors) {
  constexpr std::size_t kMaxValueBytes = 1048576;
  constexpr std::size_t kDepth = 30'000;
  const std::string valid =
      R"("service":"s","zone":"z","state":"ready","address":"10.0.0.1:80")";
  const auto with = [&valid](const std::string& field) {
    return "{" + valid + "," + field + "}";
  };
  const std::vector<std::string> odd = {
      std::string(kDepth, '[') + std::string(kDepth, ']'),
      std::string(kMaxValueBytes, '['),
      std::string(kMaxValueBytes, '\xff'),
      with("\"x\":" + std::string(kDepth, '[')),
      with(R"("batch_slots":1e400)"),
      with(R"("batch_slots":)" + std::string(400, '9')),
      with(R"("batch_slots":"8")"),
      with(R"("born":-1e300)"),
      with(R"("born":"now")"),
      with(R"("born":1180591620717411303424)"),
      with(R"("born":1.5)"),
      with(R"("batch_slots":-8)"),
      with(R"("batch_slots":4294967296)"),
      with(R"("warmup_left_ms":[])"),
      R"({"service":"s","zone":"z","state":"ready","address":"10.0.0.1:-1"})",
      R"({"service":"s","zone":"z","state":"ready","address":"10.0.0.1:0"})",
      R"({"service":"s","zone":"z","state":"ready","address":"10.0.0.1:99999"})",
      R"({"service":"s","zone":"z","state":"ready","address":"10.0.0.1:4294967376"})",
      R"({"service":"s","zone":"z","state":"ready","address":"host:80"})",
      R"({"service":"s","zone":"z","state":"ready","address":80})",
      R"({"service":"s","zone":"z","state":"odd","address":"10.0.0.1:80"})",
  };
  for (const std::string& text : odd) {
    EXPECT_FALSE(Ok(DecodeUpstream({"servers/i-1", text, 3})))
        << text.substr(0, 200);
  }
  EXPECT_TRUE(Ok(DecodeUpstream({"servers/i-1", "{" + valid + "}", 3})));
  // The same forms as the operator's configuration.
  for (const std::string& text : odd) {
    EXPECT_FALSE(Ok(DecodeTables(text))) << text.substr(0, 200);
  }
}

TEST(PlatformDecode, MalformedDocumentsReturnErrors) {
  EXPECT_FALSE(Ok(DecodeTables("{")));
  EXPECT_FALSE(Ok(DecodeTables(R"({"version":"x","routes":[]})")));
  const auto decode = [](const std::string& value) {
    return DecodeUpstream({"servers/i-1", value, 3});
  };
  const Result<ForwardUpstreamInfo> draining = decode(
      R"({"service":"s","address":"10.0.0.1:80","zone":"z","state":"draining",
          "batch_slots":8,"leaves_ms":2000,"preemptible":true,"born":77})");
  ASSERT_TRUE(Ok(draining)) << ErrorOf(draining).message;
  EXPECT_EQ(Value(draining).id, (UpstreamId{"i-1", 77}));
  EXPECT_TRUE(Value(draining).leaving);
  EXPECT_EQ(Value(draining).time_until_removal, std::chrono::seconds(2));
  for (const char* malformed :
       {"", "\xff\xfe", "[]", R"({"service":"s"})",
        R"({"service":"s","address":"10.0.0.1:80","zone":"z","state":"odd"})",
        R"({"service":3,"address":"10.0.0.1:80","zone":"z","state":"ready"})",
        R"({"service":"s","address":"host","zone":"z","state":"ready"})"}) {
    EXPECT_FALSE(Ok(decode(malformed))) << malformed;
  }
}

HttpHead MakeRequest(std::vector<HttpField> fields) {
  return {.method = "POST", .target = "/a/x?y", .fields = std::move(fields)};
}

// Guards against an estimate in a wrong form that makes a request fail, and
// against one that is taken for a number.
TEST(PlatformHeadersTest, MalformedLengthHintsAreIgnoredAndMarked) {
  const ForwardingCodec codec = PlatformHeaderCodec();
  const auto decode = [&](const std::string& hint) {
    return Value(codec.decode_request(MakeRequest({{"Length-Hint", hint}})));
  };
  EXPECT_EQ(decode(" 120 ").expected_response_tokens, 120);
  EXPECT_FALSE(decode("120").expected_tokens_unreadable);
  for (const char* hint :
       {"", "-1", "12.5", "1e3", "many", "12,13", "99999999999999999999"}) {
    EXPECT_EQ(decode(hint).expected_response_tokens, std::nullopt) << hint;
    EXPECT_TRUE(decode(hint).expected_tokens_unreadable) << hint;
  }
  const ForwardSpec none = Value(codec.decode_request(MakeRequest({})));
  EXPECT_EQ(none.expected_response_tokens, std::nullopt);
  EXPECT_FALSE(none.expected_tokens_unreadable);
}

// Guards against an order of priorities at the upstreams that differs from the
// order of admission: each priority keeps its own value, the most urgent first.
TEST(PlatformHeadersTest, EachPriorityHasItsOwnValueAtTheUpstreams) {
  const ForwardingCodec codec = PlatformHeaderCodec();
  for (int priority = 0; priority <= 9; ++priority) {
    AttemptFields attempt;
    attempt.priority = priority;
    const HttpHead sent{.fields =
                            codec.encode_attempt(MakeRequest({}), attempt)};
    ASSERT_NE(sent.Find("Request-Priority"), nullptr);
    EXPECT_EQ(*sent.Find("Request-Priority"), std::to_string(priority));
  }
}

TEST(PlatformHeadersTest, DecodesRequestHeadersAndRejectsMalformedOnes) {
  const ForwardingCodec codec = PlatformHeaderCodec();
  const Result<ForwardSpec> spec = codec.decode_request(
      MakeRequest({{"Host", "h"},
                   {"attempt-id", "9c41"},
                   {"Deadline-Ms", "1500"},
                   {"Token-Usage", "1460,80"},
                   {"Prompt-Prefix", "5c1e07a2:800,91bd3f06:410"},
                   {"Last-Event-Id", "12"}}));
  ASSERT_TRUE(Ok(spec));
  EXPECT_EQ(Value(spec).trace_id, "9c41");
  EXPECT_EQ(Value(spec).path, "/a/x");
  EXPECT_EQ(Value(spec).prompt_tokens, 1460);
  EXPECT_EQ(Value(spec).prompt_segments.at(1),
            (PromptSegment{0x91bd3f06, 410}));
  EXPECT_EQ(Value(spec).last_event_id, 12);
  EXPECT_FALSE(
      Ok(codec.decode_request(MakeRequest({{"Deadline-Ms", "soon"}}))));
  EXPECT_FALSE(Ok(codec.decode_request(MakeRequest({{"Token-Usage", "1"}}))));
}

TEST(PlatformHeadersTest, DropsReservedAndHopByHopHeadersOfTheCaller) {
  const ForwardingCodec codec = PlatformHeaderCodec();
  const HttpHead request = MakeRequest({{"Host", "h"},
                                        {"Attempt-Id", "9c41"},
                                        {"Api-Key", "secret"},
                                        {"tenant", "forged"},
                                        {"Hold", "1"},
                                        {"Kv-From", "x"},
                                        {"X-Own", "kept"},
                                        {"X-Hop", "dropped"},
                                        {"Connection", "x-hop, attempt-id"}});
  AttemptFields attempt;
  attempt.upstream.name = "i-1";
  attempt.customer = "t";
  attempt.time_left = std::chrono::milliseconds(700);
  HttpHead encoded;
  encoded.fields = codec.encode_attempt(request, attempt);
  EXPECT_EQ(*encoded.Find("Tenant"), "t");
  EXPECT_EQ(*encoded.Find("Attempt-Id"), "9c41");
  EXPECT_EQ(*encoded.Find("Deadline-Ms"), "700");
  EXPECT_EQ(*encoded.Find("Target-Instance"), "i-1");
  EXPECT_EQ(*encoded.Find("X-Own"), "kept");
  for (const char* name : {"Api-Key", "Hold", "Kv-From", "X-Hop"}) {
    EXPECT_EQ(encoded.Find(name), nullptr) << name;
  }
}

TEST(PlatformHeadersTest, Status421OrNotExecutedHeaderMeansNotRun) {
  const ForwardingCodec codec = PlatformHeaderCodec();
  HttpHead response;
  response.status = 200;
  response.fields = {{"Attempt-Id", "9c41"},
                     {"Server-Signature", "x"},
                     {"Server-Load", "3,1,8"}};
  const ResponseInfo ran = codec.decode_response(response);
  EXPECT_TRUE(ran.is_signed);
  EXPECT_FALSE(ran.not_run);
  EXPECT_EQ(ran.signals.load, (ReportedLoad{3, 1, 8}));
  response.status = 421;
  EXPECT_TRUE(codec.decode_response(response).not_run);
  response.status = 503;
  EXPECT_FALSE(codec.decode_response(response).not_run);
  response.fields.push_back({"Not-Executed", "1"});
  EXPECT_TRUE(codec.decode_response(response).not_run);
}

// Guards against losing the whole load report of an upstream because a later
// version of the upstream appends a value to it.
TEST(PlatformHeadersTest, AdditionalLoadValuesAreIgnored) {
  const ForwardingCodec codec = PlatformHeaderCodec();
  const auto decode = [&codec](const std::string& load) {
    HttpHead response;
    response.status = 200;
    response.fields = {{"Server-Load", load}};
    return codec.decode_response(response).signals;
  };
  EXPECT_EQ(decode("3,1,8").load, (ReportedLoad{3, 1, 8, 100}));
  EXPECT_EQ(decode("3,1,8,250").load, (ReportedLoad{3, 1, 8, 250}));
  EXPECT_EQ(decode("3, 1, 8, 90, later").load, (ReportedLoad{3, 1, 8, 90}));
  for (const char* malformed : {"", "3,1", "3,x,8", "-1,0,8", "3,1,8,slow"}) {
    EXPECT_EQ(decode(malformed).load, std::nullopt) << malformed;
    EXPECT_TRUE(decode(malformed).load_is_unreadable) << malformed;
  }
  EXPECT_FALSE(codec.decode_response(HttpHead()).signals.load_is_unreadable);
}

// Guards against a malformed limit of an upstream that stops all requests to
// it, or that ends the limit that holds.
TEST(PlatformHeadersTest, RateLimitOfAnUpstream) {
  const ForwardingCodec codec = PlatformHeaderCodec();
  const auto decode = [&codec](const std::vector<std::string>& values) {
    HttpHead response;
    response.status = 200;
    for (const std::string& value : values) {
      response.fields.push_back({"Server-Limit", value});
    }
    return codec.decode_response(response).signals;
  };
  EXPECT_EQ(decode({"1.7"}).max_requests_per_s, 1.7);
  EXPECT_EQ(decode({" 2 "}).max_requests_per_s, 2);
  EXPECT_EQ(decode({"0"}).max_requests_per_s, 0);
  EXPECT_EQ(decode({"3", "1.5"}).max_requests_per_s, 1.5);
  EXPECT_EQ(decode({}).max_requests_per_s, std::nullopt);
  // No fleet sends so much to one upstream.
  EXPECT_EQ(decode({"1e9"}).max_requests_per_s, std::nullopt);
  EXPECT_FALSE(decode({"1e9"}).limit_is_unreadable);
  for (const char* malformed :
       {"", "x", "-1", "nan", "inf", "1.7 a second", "1e999"}) {
    EXPECT_EQ(decode({malformed}).max_requests_per_s, std::nullopt)
        << malformed;
    EXPECT_TRUE(decode({malformed}).limit_is_unreadable) << malformed;
  }
}

// Guards against a malformed order that is followed, and against a status that
// the operator does not know.
TEST(PlatformDecode, RolloutOrderAndStatus) {
  const auto decode = [](const std::string& value) {
    return DecodeRolloutOrder({"op/rollout/s", value, 7});
  };
  const Result<RolloutOrder> order =
      decode(R"({"service":"s","target":"v2","duration_s":12.5})");
  ASSERT_TRUE(Ok(order));
  EXPECT_EQ(Value(order), (RolloutOrder{"s", "v2", FromSeconds(12.5), 7}));
  for (const char* malformed :
       {"", "[]", "{}", R"({"service":"s","target":"","duration_s":12})",
        R"({"service":"s","target":"v2","duration_s":0})",
        R"({"service":"s","target":"v2","duration_s":1e9})",
        R"({"service":"s","target":"v2","duration_s":"12"})"}) {
    EXPECT_FALSE(Ok(decode(malformed))) << malformed;
  }
  EXPECT_EQ(EncodeRolloutStatus(RolloutPhase::kMoving, "v2"),
            R"({"state":"in_progress","target":"v2"})");
  EXPECT_EQ(EncodeRolloutStatus(RolloutPhase::kCompleted, "v2"),
            R"({"state":"completed","target":"v2"})");
  EXPECT_EQ(EncodeRolloutStatus(RolloutPhase::kReverted, "v2"),
            R"({"state":"reverted","target":"v2"})");
}

}  // namespace
}  // namespace pollenledge
