#include "platform/platform_headers.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdio>
#include <string_view>

namespace pollenledge {
namespace {

constexpr char kTraceId[] = "Attempt-Id";
constexpr char kTimeLeft[] = "Deadline-Ms";
constexpr char kApiKey[] = "Api-Key";
constexpr char kTokens[] = "Token-Usage";
constexpr char kPromptParts[] = "Prompt-Prefix";
constexpr char kLastEvent[] = "Last-Event-Id";
constexpr char kCustomer[] = "Tenant";
constexpr char kTarget[] = "Target-Instance";
constexpr char kPriority[] = "Request-Priority";
constexpr char kSignature[] = "Server-Signature";
constexpr char kNotRun[] = "Not-Executed";
constexpr char kLoad[] = "Server-Load";
constexpr int kMisdirected = 421;

/// Request headers that only the system sets; a caller's are dropped.
constexpr std::array<const char*, 11> kOwnHeaders = {
    kTimeLeft, kApiKey,  kCustomer, kTarget,     kPriority, kLastEvent,
    "Hold",    "Pin-Ms", "Kv-From", "Kv-Backup", "Kv-Fetch"};

/// Headers that reach the upstream even if the caller's `Connection` names
/// them: the upstream's work depends on them.
constexpr std::array<const char*, 4> kAlwaysForwarded = {kTraceId, kTokens,
                                                         kPromptParts, "Model"};

template <typename Names>
bool IsAmong(std::string_view name, const Names& names) {
  return std::any_of(names.begin(), names.end(), [name](const char* known) {
    return SameHeader(known, name);
  });
}

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

std::vector<std::string_view> Split(std::string_view text) {
  std::vector<std::string_view> parts;
  while (!text.empty()) {
    const std::size_t comma = text.find(',');
    parts.push_back(text.substr(0, comma));
    if (comma == std::string_view::npos) break;
    text.remove_prefix(comma + 1);
  }
  return parts;
}

Error Malformed(const char* header) {
  return {ErrorCode::kInvalidArgument,
          std::string("header ") + header + " cannot be read"};
}

Status ReadTokens(const HttpHead& head, ForwardSpec* spec) {
  const std::string* text = head.Find(kTokens);
  if (text == nullptr) return {};
  const auto parts = Split(*text);
  if (parts.size() != 2) return Malformed(kTokens);
  const auto prompt = ParseNumber<std::int64_t>(parts[0]);
  const auto answer = ParseNumber<std::int64_t>(parts[1]);
  if (!prompt || !answer || *prompt < 0 || *answer < 0) {
    return Malformed(kTokens);
  }
  spec->prompt_tokens = *prompt;
  spec->max_answer_tokens = *answer;
  spec->states_tokens = true;
  return {};
}

Status ReadPromptParts(const HttpHead& head, ForwardSpec* spec) {
  const std::string* text = head.Find(kPromptParts);
  if (text == nullptr) return {};
  for (const std::string_view part : Split(*text)) {
    const std::size_t colon = part.find(':');
    if (colon == std::string_view::npos) return Malformed(kPromptParts);
    constexpr int kHex = 16;
    const auto id = ParseNumber<std::uint64_t>(part.substr(0, colon), kHex);
    const auto tokens = ParseNumber<std::int64_t>(part.substr(colon + 1));
    if (!id || !tokens) return Malformed(kPromptParts);
    spec->prompt_parts.push_back({*id, *tokens});
  }
  return {};
}

Result<ForwardSpec> DecodeRequest(const HttpHead& head) {
  ForwardSpec spec;
  if (const std::string* id = head.Find(kTraceId)) spec.trace_id = *id;
  if (const std::string* host = head.Find("Host")) spec.host = *host;
  if (const std::string* key = head.Find(kApiKey)) spec.api_key = *key;
  spec.path = head.target.substr(0, head.target.find('?'));
  if (const std::string* left = head.Find(kTimeLeft)) {
    const auto milliseconds = ParseNumber<std::int64_t>(*left);
    if (!milliseconds) return Malformed(kTimeLeft);
    spec.time_left = std::chrono::milliseconds(*milliseconds);
  }
  if (const std::string* last = head.Find(kLastEvent)) {
    spec.last_event_id = ParseNumber<std::int64_t>(*last);
    if (!spec.last_event_id) return Malformed(kLastEvent);
  }
  if (Status status = ReadTokens(head, &spec); !Ok(status)) {
    return ErrorOf(status);
  }
  if (Status status = ReadPromptParts(head, &spec); !Ok(status)) {
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
    const bool always = IsAmong(field.name, kAlwaysForwarded);
    if (!always && (IsAmong(field.name, kOwnHeaders) ||
                    IsHopByHop(field.name, connection_value))) {
      continue;
    }
    fields.push_back(field);
  }
  const std::int64_t left_ms =
      std::max<std::int64_t>(1, attempt.time_left.count() / 1000);
  fields.push_back({kTimeLeft, std::to_string(left_ms)});
  fields.push_back({kTarget, attempt.upstream.name});
  fields.push_back(
      {kPriority, std::to_string(std::clamp(attempt.priority, 0, 9))});
  if (!attempt.customer.empty()) {
    fields.push_back({kCustomer, attempt.customer});
  }
  if (attempt.last_event_id.has_value()) {
    fields.push_back({kLastEvent, std::to_string(*attempt.last_event_id)});
  }
  return fields;
}

/// Running, waiting, slots and, from some services, how long work takes now.
/// Figures of later versions that follow these are passed over.
std::optional<ReportedLoad> DecodeLoad(const std::string& text) {
  const auto parts = Split(text);
  constexpr std::size_t kLeastFigures = 3;
  if (parts.size() < kLeastFigures) return std::nullopt;
  const auto running = ParseNumber<int>(parts[0]);
  const auto waiting = ParseNumber<int>(parts[1]);
  const auto slots = ParseNumber<int>(parts[2]);
  if (!running || !waiting || !slots) return std::nullopt;
  if (*running < 0 || *waiting < 0 || *slots < 0) return std::nullopt;
  ReportedLoad load{*running, *waiting, *slots};
  if (parts.size() > kLeastFigures) {
    const auto work_percent = ParseNumber<int>(parts[kLeastFigures]);
    if (!work_percent || *work_percent <= 0) return std::nullopt;
    load.work_percent = *work_percent;
  }
  return load;
}

AnswerFacts DecodeAnswer(const HttpHead& answer) {
  AnswerFacts facts;
  if (const std::string* id = answer.Find(kTraceId)) facts.trace_id = *id;
  facts.is_signed = answer.Find(kSignature) != nullptr;
  facts.not_run =
      answer.Find(kNotRun) != nullptr || answer.status == kMisdirected;
  facts.is_encoded = answer.Find("Content-Encoding") != nullptr;
  if (const std::string* load = answer.Find(kLoad)) {
    facts.load = DecodeLoad(*load);
    facts.load_is_unreadable = !facts.load.has_value();
  }
  return facts;
}

std::vector<HttpField> EncodeOwnAnswer(const ForwardSpec& spec,
                                       Duration retry_after) {
  std::vector<HttpField> fields = {{"Content-Type", "text/plain"}};
  if (!spec.trace_id.empty()) fields.push_back({kTraceId, spec.trace_id});
  if (retry_after > Duration::zero()) {
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "%.3f", ToSeconds(retry_after));
    fields.push_back({"Retry-After", text.data()});
  }
  return fields;
}

}  // namespace

ForwardingCodec PlatformHeaders() {
  return {DecodeRequest, EncodeAttempt, DecodeAnswer, EncodeOwnAnswer};
}

}  // namespace pollenledge
