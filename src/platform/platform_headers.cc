#include "platform/platform_headers.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <string_view>

namespace pollenledge {
namespace {

// Identifies the caller's request in logs: all attempts have the same value.
constexpr char kTraceId[] = "Attempt-Id";
// Time left until the deadline of the request, in milliseconds.
constexpr char kRemainingTime[] = "Deadline-Ms";
constexpr char kApiKey[] = "Api-Key";
// Number of prompt tokens and maximum number of response tokens.
constexpr char kTokenCounts[] = "Token-Usage";
// The caller's estimate of the number of response tokens.
constexpr char kLengthHint[] = "Length-Hint";
// `id:tokens` of each part of the prompt, with the id in hexadecimal.
constexpr char kPromptParts[] = "Prompt-Prefix";
constexpr char kModel[] = "Model";
constexpr char kLastEventId[] = "Last-Event-Id";
// `kTraceId` of the caller's request that received the stream's first event.
constexpr char kFirstAttempt[] = "Resumes";
// Between nodes: `ForwardSpec::min_tables_version`.
constexpr char kMinTablesVersion[] = "Min-Tables-Version";
// Between nodes: `ForwardSpec::max_runs`.
constexpr char kMaxRuns[] = "Max-Runs";
// Name of the customer.
constexpr char kCustomer[] = "Tenant";
// Name of the upstream that the attempt is sent to.
constexpr char kTargetUpstream[] = "Target-Instance";
constexpr char kPriority[] = "Request-Priority";
// Present in each response that the upstream itself produced.
constexpr char kSignature[] = "Server-Signature";
// Present in a response if the upstream did not run the request.
constexpr char kNotRun[] = "Not-Executed";
// Requests in progress at the upstream; see `DecodeLoad`.
constexpr char kLoad[] = "Server-Load";
// Requests per second that the upstream accepts from all nodes together.
constexpr char kRateLimit[] = "Server-Limit";
// Rejections per second, over all nodes, above which the upstream fails.
constexpr char kBrittle[] = "Server-Brittle";
// The upstream stops soon.
constexpr char kLeaving[] = "Server-Leaving";
// With a rejection: seconds for which the upstream wants no requests from here.
constexpr char kRetryAfter[] = "Retry-After";
constexpr char kUpstreamReport[] = "/-/report";
/// Followed by the number of the first event asked for.
constexpr char kCacheEvents[] = "/-/kv-events?since=";
/// Time in milliseconds that such a call waits for events.
constexpr char kWait[] = "Wait-Ms";
/// More tokens than any engine's KV cache holds.
constexpr std::uint64_t kMaxSegmentTokens = 100'000'000;
/// Longest time that is accepted: by then an upstream is replaced.
constexpr double kMaxRetryAfterS = 600;
constexpr int kStatusUnavailable = 503;
/// A higher limit is never reached, so that it is none.
constexpr double kMaxRateLimit = 10000;
// The request reached another upstream than the target and was not run.
constexpr int kStatusMisdirected = 421;

/// Request headers of the caller that are not forwarded. The node uses them
/// itself, sets its own value for each attempt, or accepts them from no caller.
constexpr std::array<const char*, 13> kReservedHeaders = {
    kRemainingTime, kApiKey,           kCustomer, kTargetUpstream, kPriority,
    kLastEventId,   kMinTablesVersion, kMaxRuns,  "Hold",          "Pin-Ms",
    "Kv-From",      "Kv-Backup",       "Kv-Fetch"};

/// Headers that are forwarded even if the caller's `Connection` header names
/// them, because the upstream needs them for its work.
constexpr std::array<const char*, 4> kAlwaysForwarded = {kTraceId, kTokenCounts,
                                                         kPromptParts, kModel};

template <typename Names>
bool IsOneOf(std::string_view name, const Names& names) {
  return std::any_of(names.begin(), names.end(), [name](const char* candidate) {
    return EqualsIgnoreCase(candidate, name);
  });
}

/// Parses `text` as a number; spaces around it are allowed. Returns nothing if
/// any other character is left.
template <typename Number>
std::optional<Number> ParseNumber(std::string_view text, int base = 10) {
  while (!text.empty() && text.front() == ' ') text.remove_prefix(1);
  while (!text.empty() && text.back() == ' ') text.remove_suffix(1);
  Number number = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, number, base);
  if (text.empty() || parsed.ec != std::errc() || parsed.ptr != end) {
    return std::nullopt;
  }
  return number;
}

/// As `ParseNumber`, for a decimal number. "nan" and "inf" are no numbers.
std::optional<double> ParseDecimal(std::string_view text) {
  while (!text.empty() && text.front() == ' ') text.remove_prefix(1);
  while (!text.empty() && text.back() == ' ') text.remove_suffix(1);
  double number = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, number);
  const bool is_number = !text.empty() && parsed.ec == std::errc() &&
                         parsed.ptr == end && std::isfinite(number);
  return is_number ? std::optional(number) : std::nullopt;
}

std::vector<std::string_view> SplitAtCommas(std::string_view text) {
  std::vector<std::string_view> parts;
  while (!text.empty()) {
    const std::size_t comma = text.find(',');
    parts.push_back(text.substr(0, comma));
    if (comma == std::string_view::npos) break;
    text.remove_prefix(comma + 1);
  }
  return parts;
}

Error MalformedHeader(const char* header) {
  return {ErrorCode::kInvalidArgument,
          std::string("header ") + header + " is malformed"};
}

Status ParseTokenCounts(const HttpHead& head, ForwardSpec* spec) {
  const std::string* text = head.Find(kTokenCounts);
  if (text == nullptr) return {};
  const auto parts = SplitAtCommas(*text);
  if (parts.size() != 2) return MalformedHeader(kTokenCounts);
  const auto prompt = ParseNumber<std::int64_t>(parts[0]);
  const auto response = ParseNumber<std::int64_t>(parts[1]);
  if (!prompt || !response || *prompt < 0 || *response < 0) {
    return MalformedHeader(kTokenCounts);
  }
  spec->prompt_tokens = *prompt;
  spec->max_response_tokens = *response;
  spec->has_token_counts = true;
  return {};
}

/// A malformed estimate does not make the request invalid.
void ParseLengthHint(const HttpHead& head, ForwardSpec* spec) {
  const std::string* text = head.Find(kLengthHint);
  if (text == nullptr) return;
  const auto tokens = ParseNumber<std::int64_t>(*text);
  if (tokens && *tokens >= 0) {
    spec->expected_response_tokens = *tokens;
  } else {
    spec->expected_tokens_unreadable = true;
  }
}

Status ParsePromptParts(const HttpHead& head, ForwardSpec* spec) {
  const std::string* text = head.Find(kPromptParts);
  if (text == nullptr) return {};
  for (const std::string_view part : SplitAtCommas(*text)) {
    const std::size_t colon = part.find(':');
    if (colon == std::string_view::npos) return MalformedHeader(kPromptParts);
    constexpr int kHexBase = 16;
    const auto id = ParseNumber<std::uint64_t>(part.substr(0, colon), kHexBase);
    const auto tokens = ParseNumber<std::int64_t>(part.substr(colon + 1));
    if (!id || !tokens) return MalformedHeader(kPromptParts);
    spec->prompt_segments.push_back({*id, *tokens});
  }
  return {};
}

Result<ForwardSpec> DecodeRequest(const HttpHead& head) {
  ForwardSpec spec;
  if (const std::string* id = head.Find(kTraceId)) spec.trace_id = *id;
  if (const std::string* host = head.Find("Host")) spec.host = *host;
  if (const std::string* key = head.Find(kApiKey)) spec.api_key = *key;
  if (const std::string* model = head.Find(kModel)) spec.model = *model;
  spec.path = head.target.substr(0, head.target.find('?'));
  if (const std::string* remaining = head.Find(kRemainingTime)) {
    const auto milliseconds = ParseNumber<std::int64_t>(*remaining);
    if (!milliseconds) return MalformedHeader(kRemainingTime);
    spec.time_left = std::chrono::milliseconds(*milliseconds);
  }
  if (const std::string* last_event = head.Find(kLastEventId)) {
    spec.last_event_id = ParseNumber<std::int64_t>(*last_event);
    if (!spec.last_event_id) return MalformedHeader(kLastEventId);
  }
  if (const std::string* first = head.Find(kFirstAttempt))
    spec.first_attempt = *first;
  if (const std::string* version = head.Find(kMinTablesVersion))
    spec.min_tables_version = ParseNumber<std::uint64_t>(*version).value_or(0);
  if (const std::string* max_runs = head.Find(kMaxRuns))
    spec.max_runs = ParseNumber<int>(*max_runs);
  ParseLengthHint(head, &spec);
  if (Status status = ParseTokenCounts(head, &spec); !Ok(status)) {
    return ErrorOf(status);
  }
  if (Status status = ParsePromptParts(head, &spec); !Ok(status)) {
    return ErrorOf(status);
  }
  return spec;
}

std::vector<HttpField> EncodeAttempt(const HttpHead& request,
                                     const AttemptFields& attempt) {
  const std::string* connection = request.Find("Connection");
  const std::string_view connection_value =
      connection == nullptr ? std::string_view() : *connection;
  std::vector<HttpField> fields;
  fields.reserve(request.fields.size() + 5);
  for (const HttpField& field : request.fields) {
    const bool is_always_forwarded = IsOneOf(field.name, kAlwaysForwarded);
    if (!is_always_forwarded && (IsOneOf(field.name, kReservedHeaders) ||
                                 IsHopByHop(field.name, connection_value))) {
      continue;
    }
    fields.push_back(field);
  }
  const std::int64_t remaining_ms =
      std::max<std::int64_t>(1, attempt.time_left.count() / 1000);
  fields.push_back({kRemainingTime, std::to_string(remaining_ms)});
  fields.push_back({kTargetUpstream, attempt.upstream.name});
  fields.push_back(
      {kPriority, std::to_string(std::clamp(attempt.priority, 0, 9))});
  if (!attempt.customer.empty()) {
    fields.push_back({kCustomer, attempt.customer});
  }
  if (attempt.last_event_id.has_value()) {
    fields.push_back({kLastEventId, std::to_string(*attempt.last_event_id)});
  }
  return fields;
}

std::vector<HttpField> EncodeRelay(const HttpHead& request,
                                   const RelayFields& relay) {
  constexpr std::array<const char*, 5> kReplaced = {
      kRemainingTime, kLastEventId, kFirstAttempt, kMinTablesVersion, kMaxRuns};
  const std::string* connection = request.Find("Connection");
  const std::string_view connection_value =
      connection == nullptr ? std::string_view() : *connection;
  std::vector<HttpField> fields;
  for (const HttpField& field : request.fields) {
    const bool is_kept = IsOneOf(field.name, kAlwaysForwarded) ||
                         EqualsIgnoreCase(field.name, kApiKey) ||
                         !IsHopByHop(field.name, connection_value);
    if (is_kept && !IsOneOf(field.name, kReplaced)) fields.push_back(field);
  }
  const std::int64_t remaining_ms =
      std::max<std::int64_t>(1, relay.time_left.count() / 1000);
  fields.push_back({kRemainingTime, std::to_string(remaining_ms)});
  if (relay.last_event_id.has_value())
    fields.push_back({kLastEventId, std::to_string(*relay.last_event_id)});
  if (!relay.first_attempt.empty())
    fields.push_back({kFirstAttempt, relay.first_attempt});
  fields.push_back(
      {kMinTablesVersion, std::to_string(relay.min_tables_version)});
  fields.push_back({kMaxRuns, std::to_string(relay.max_runs)});
  // A node of an earlier release doesn't know these fields. Named here, they
  // aren't forwarded to the upstream.
  fields.push_back(
      {"Connection", std::string(kMinTablesVersion) + ", " + kMaxRuns});
  return fields;
}

/// Decodes `running,waiting,slots[,work_percent[,...]]`. Only some services
/// report `work_percent`, how long work takes now in percent of the usual time.
/// Further values, as later versions may add, are ignored.
std::optional<ReportedLoad> DecodeLoad(const std::string& text) {
  const auto parts = SplitAtCommas(text);
  constexpr std::size_t kMinValueCount = 3;
  if (parts.size() < kMinValueCount) return std::nullopt;
  const auto running = ParseNumber<int>(parts[0]);
  const auto waiting = ParseNumber<int>(parts[1]);
  const auto slots = ParseNumber<int>(parts[2]);
  if (!running || !waiting || !slots) return std::nullopt;
  if (*running < 0 || *waiting < 0 || *slots < 0) return std::nullopt;
  ReportedLoad load{*running, *waiting, *slots};
  if (parts.size() > kMinValueCount) {
    const auto work_percent = ParseNumber<int>(parts[kMinValueCount]);
    if (!work_percent || *work_percent <= 0) return std::nullopt;
    load.service_time_percent = *work_percent;
  }
  return load;
}

/// Decodes a rate limit into `signals`. An upstream that repeats the field
/// means the lowest of its values.
void DecodeRateLimit(const std::string& text, UpstreamSignals* signals) {
  for (const std::string_view part : SplitAtCommas(text)) {
    const std::optional<double> limit = ParseDecimal(part);
    if (!limit || *limit < 0) {
      signals->limit_is_unreadable = true;
      continue;
    }
    if (*limit > kMaxRateLimit) continue;
    signals->max_requests_per_s =
        std::min(*limit, signals->max_requests_per_s.value_or(*limit));
  }
  if (text.empty()) signals->limit_is_unreadable = true;
}

/// Dates are not accepted: clocks differ by more than the times that are
/// stated.
void DecodeRetryAfter(const std::string& text, UpstreamSignals* signals) {
  const std::optional<double> seconds = ParseDecimal(text);
  if (!seconds || *seconds < 0) {
    signals->retry_after_is_unreadable = true;
    return;
  }
  signals->retry_after = FromSeconds(std::min(*seconds, kMaxRetryAfterS));
}

UpstreamSignals DecodeSignals(const HttpHead& response) {
  UpstreamSignals signals;
  if (const std::string* load = response.Find(kLoad)) {
    signals.load = DecodeLoad(*load);
    signals.load_is_unreadable = !signals.load.has_value();
  }
  for (const HttpField& field : response.fields) {
    if (EqualsIgnoreCase(field.name, kRateLimit))
      DecodeRateLimit(field.value, &signals);
  }
  if (const std::string* brittle = response.Find(kBrittle)) {
    signals.max_rejections_per_s = ParseDecimal(*brittle);
    signals.max_rejections_is_unreadable =
        !signals.max_rejections_per_s.has_value() ||
        *signals.max_rejections_per_s < 0;
  }
  const std::string* leaving = response.Find(kLeaving);
  signals.leaving = leaving != nullptr && *leaving == "1";
  const std::string* retry_after = response.Find(kRetryAfter);
  if (retry_after != nullptr && response.status == kStatusUnavailable)
    DecodeRetryAfter(*retry_after, &signals);
  return signals;
}

ResponseInfo DecodeResponse(const HttpHead& response) {
  ResponseInfo info;
  if (const std::string* id = response.Find(kTraceId)) info.trace_id = *id;
  info.is_signed = response.Find(kSignature) != nullptr;
  info.not_run = response.Find(kNotRun) != nullptr ||
                 response.status == kStatusMisdirected;
  info.is_encoded = response.Find("Content-Encoding") != nullptr;
  info.signals = DecodeSignals(response);
  return info;
}

std::vector<HttpField> EncodeOwnResponse(const HttpHead& request,
                                         Duration retry_after) {
  std::vector<HttpField> fields = {{"Content-Type", "text/plain"}};
  const std::string* id = request.Find(kTraceId);
  if (id != nullptr && !id->empty()) fields.push_back({kTraceId, *id});
  if (retry_after > Duration::zero()) {
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "%.3f", ToSeconds(retry_after));
    fields.push_back({"Retry-After", text.data()});
  }
  return fields;
}

/// "born" is the time at which the incarnation started.
std::optional<std::uint64_t> DecodeIncarnation(const std::string& report) {
  const nlohmann::json json = nlohmann::json::parse(report, nullptr, false);
  if (!json.is_object()) return std::nullopt;
  const auto born = json.find("born");
  if (born == json.end() || !born->is_number_unsigned()) return std::nullopt;
  return born->get<std::uint64_t>();
}

HttpHead EncodeCacheEventsCall(std::uint64_t since, Duration wait) {
  HttpHead request;
  request.method = "GET";
  request.target = kCacheEvents + std::to_string(since);
  request.fields = {
      {kWait, std::to_string(std::llround(ToMilliseconds(wait)))}};
  return request;
}

/// A row is [number, "+" or "-", "", ID, tokens, model]. The model is not
/// needed: IDs of segments of different models differ.
std::optional<PromptCacheEvent> DecodeCacheEvent(const nlohmann::json& row) {
  constexpr std::size_t kTokensColumn = 4;
  if (!row.is_array() || row.size() <= kTokensColumn ||
      !row[0].is_number_unsigned() || !row[1].is_string() ||
      !row[3].is_string() || !row[kTokensColumn].is_number_unsigned())
    return std::nullopt;
  constexpr int kHexBase = 16;
  const auto& sign = row[1].get_ref<const std::string&>();
  const std::optional<std::uint64_t> id = ParseNumber<std::uint64_t>(
      row[3].get_ref<const std::string&>(), kHexBase);
  const auto tokens = row[kTokensColumn].get<std::uint64_t>();
  if ((sign != "+" && sign != "-") || !id.has_value() ||
      tokens > kMaxSegmentTokens)
    return std::nullopt;
  return PromptCacheEvent{row[0].get<std::uint64_t>(), sign == "+", *id,
                          static_cast<std::int64_t>(tokens)};
}

/// Returns the number that stands for an epoch, which is a number or text.
std::optional<std::uint64_t> DecodeEpoch(const nlohmann::json& epoch) {
  if (epoch.is_number_unsigned()) return epoch.get<std::uint64_t>();
  if (!epoch.is_string()) return std::nullopt;
  return ComputeFingerprint({epoch.get<std::string>()}).low;
}

std::optional<PromptCacheEvents> DecodeCacheEvents(const std::string& body) {
  const nlohmann::json json = nlohmann::json::parse(body, nullptr, false);
  if (!json.is_object()) return std::nullopt;
  const auto epoch = json.find("epoch");
  const auto next = json.find("next");
  const auto rows = json.find("events");
  if (epoch == json.end() || next == json.end() || rows == json.end() ||
      !next->is_number_unsigned() || !rows->is_array())
    return std::nullopt;
  const std::optional<std::uint64_t> epoch_number = DecodeEpoch(*epoch);
  if (!epoch_number.has_value()) return std::nullopt;
  PromptCacheEvents events{*epoch_number, next->get<std::uint64_t>(), 0, {}};
  // A count, or only whether there were any.
  if (const auto lost = json.find("lost"); lost != json.end()) {
    if (lost->is_number_unsigned()) events.lost = lost->get<std::uint64_t>();
    if (lost->is_boolean()) events.lost = lost->get<bool>() ? 1 : 0;
  }
  for (const nlohmann::json& row : *rows) {
    const std::optional<PromptCacheEvent> event = DecodeCacheEvent(row);
    if (!event.has_value()) return std::nullopt;
    events.events.push_back(*event);
  }
  return events;
}

}  // namespace

ForwardingCodec PlatformHeaderCodec() {
  return {DecodeRequest,     EncodeAttempt,         EncodeRelay,
          DecodeResponse,    EncodeOwnResponse,     kUpstreamReport,
          DecodeIncarnation, EncodeCacheEventsCall, DecodeCacheEvents};
}

}  // namespace pollenledge
