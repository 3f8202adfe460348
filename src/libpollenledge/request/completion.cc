#include "pollenledge/request/completion.h"

#include <xxhash.h>

#include <algorithm>
#include <nlohmann/json.hpp>

#include "pollenledge/process/router.h"

namespace pollenledge {
namespace {

using Json = nlohmann::json;

constexpr std::int64_t kEstimatedBytesPerToken = 4;
constexpr std::int64_t kDefaultMaxTokens = 256;
constexpr std::int64_t kMaxTokensLimit = 32'768;
constexpr std::size_t kMaxPrefixHashes = 64;
constexpr std::size_t kMaxModelNameBytes = 200;

Error BadField(const std::string& field, const std::string& found,
               const std::string& allowed) {
  return {ErrorCode::kInvalidArgument,
          "field \"" + field + "\": found " + found + ", allowed: " + allowed};
}

std::string Abbreviate(const Json& json) {
  constexpr std::size_t kMaxAbbreviatedBytes = 40;
  const std::string text =
      json.dump(-1, ' ', false, Json::error_handler_t::replace);
  return text.size() <= kMaxAbbreviatedBytes
             ? text
             : text.substr(0, kMaxAbbreviatedBytes) + "...";
}

// Concatenates the text of the prompt with its roles, so that two prompts with
// the same first messages have the same prefix.
Result<std::string> PromptText(CompletionApi api, const Json& json) {
  if (api == CompletionApi::kText) {
    const auto prompt = json.find("prompt");
    if (prompt == json.end()) return BadField("prompt", "nothing", "a string");
    if (!prompt->is_string()) {
      return BadField("prompt", Abbreviate(*prompt), "a string");
    }
    return prompt->get<std::string>();
  }
  const auto messages = json.find("messages");
  if (messages == json.end() || !messages->is_array() || messages->empty()) {
    return BadField("messages",
                    messages == json.end() ? "nothing" : Abbreviate(*messages),
                    "a list of at least one message");
  }
  std::string text;
  for (const Json& message : *messages) {
    const bool valid = message.is_object() && message.contains("role") &&
                       message["role"].is_string() &&
                       message.contains("content") &&
                       message["content"].is_string();
    if (!valid) {
      return BadField("messages[]", Abbreviate(message),
                      "an object with strings \"role\" and \"content\"");
    }
    text += message["role"].get_ref<const std::string&>();
    text += '\n';
    text += message["content"].get_ref<const std::string&>();
    text += '\n';
  }
  return text;
}

// Returns a hash for each prefix of the prompt that is a whole number of
// blocks. The model seeds the hash, so that the same prompt hashes differently
// for each model.
std::vector<std::uint64_t> ComputePrefixHashes(const std::string& model,
                                               const std::string& prompt) {
  constexpr std::size_t kBlockBytes = static_cast<std::size_t>(
      Router::kPrefixBlockTokens * kEstimatedBytesPerToken);
  const std::size_t block_count =
      std::min(kMaxPrefixHashes, prompt.size() / kBlockBytes);
  std::vector<std::uint64_t> hashes;
  hashes.reserve(block_count);
  std::uint64_t hash = HashText(model);
  for (std::size_t i = 0; i < block_count; ++i) {
    hash = XXH64(prompt.data() + i * kBlockBytes, kBlockBytes, hash);
    hashes.push_back(hash);
  }
  return hashes;
}

Status ParseOptions(const Json& json, CompletionRequest* request) {
  RequestSpec& spec = request->spec;
  spec.max_tokens = kDefaultMaxTokens;
  if (const auto value = json.find("max_tokens"); value != json.end()) {
    const bool valid = value->is_number_integer() &&
                       value->get<std::int64_t>() >= 1 &&
                       value->get<std::int64_t>() <= kMaxTokensLimit;
    if (!valid) {
      return BadField(
          "max_tokens", Abbreviate(*value),
          "an integer from 1 to " + std::to_string(kMaxTokensLimit));
    }
    spec.max_tokens = value->get<std::int64_t>();
  }
  if (const auto value = json.find("stream"); value != json.end()) {
    if (!value->is_boolean()) {
      return BadField("stream", Abbreviate(*value), "true or false");
    }
    spec.stream = value->get<bool>();
  }
  if (const auto value = json.find("service_tier"); value != json.end()) {
    if (value->is_string()) {
      spec.rank = ParseRank(value->get_ref<const std::string&>());
    }
    const bool is_default = value->is_string() && *value == "auto";
    if (!spec.rank.has_value() && !is_default) {
      return BadField("service_tier", Abbreviate(*value),
                      "urgent, standard, background, auto");
    }
  }
  if (const auto value = json.find("stream_options");
      value != json.end() && value->is_object()) {
    const auto usage = value->find("include_usage");
    request->include_usage =
        usage != value->end() && usage->is_boolean() && usage->get<bool>();
  }
  return std::monostate();
}

// Calls `visit(data)` with the `data` field of each event in `events`.
template <typename Visit>
void ForEachEventData(const std::string& events, Visit visit) {
  constexpr char kDataPrefix[] = "data: ";
  std::size_t at = 0;
  while ((at = events.find(kDataPrefix, at)) != std::string::npos) {
    const std::size_t begin = at + sizeof kDataPrefix - 1;
    const std::size_t end = std::min(events.find('\n', begin), events.size());
    visit(events.substr(begin, end - begin));
    at = end;
  }
}

}  // namespace

Result<CompletionRequest> ParseCompletionRequest(CompletionApi api,
                                                 const std::string& customer,
                                                 const std::string& body) {
  const Json json = Json::parse(body, nullptr, false);
  if (!json.is_object()) {
    return Error{ErrorCode::kInvalidArgument, "the body is not a JSON object"};
  }
  CompletionRequest request;
  request.api = api;
  RequestSpec& spec = request.spec;
  spec.customer = customer;
  spec.kind = WorkKind::kModel;
  const auto model = json.find("model");
  if (model == json.end() || !model->is_string() ||
      model->get_ref<const std::string&>().empty() ||
      model->get_ref<const std::string&>().size() > kMaxModelNameBytes) {
    return BadField("model",
                    model == json.end() ? "nothing" : Abbreviate(*model),
                    "a model's name");
  }
  spec.model = model->get<std::string>();
  const Result<std::string> prompt = PromptText(api, json);
  if (!Ok(prompt)) return ErrorOf(prompt);
  const Status options = ParseOptions(json, &request);
  if (!Ok(options)) return ErrorOf(options);
  spec.prompt_tokens = EstimateTokens(Value(prompt));
  spec.prefix_hashes = ComputePrefixHashes(spec.model, Value(prompt));
  spec.fingerprint = ComputeFingerprint({customer, body});
  spec.body_sha256 = Sha256Hex(body);
  return request;
}

std::string MakeEngineRequestBody(const std::string& body, const RequestId& id,
                                  const ResumePoint& resume,
                                  const std::string& delivered_text) {
  Json json = Json::parse(body, nullptr, false);
  json["stream"] = true;
  json["stream_options"] = {{"include_usage", true}};
  json["request_id"] = ToString(id);
  if (resume.delivered_tokens > 0) {
    json["resume"] = {{"tokens", resume.delivered_tokens},
                      {"text", delivered_text}};
    if (!resume.kv_source.empty()) {
      json["resume"]["kv_source"] = resume.kv_source;
    }
  }
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

Result<EngineEvent> ParseEngineEvent(const std::string& data) {
  const Json json = Json::parse(data, nullptr, false);
  if (!json.is_object()) {
    return Error{ErrorCode::kInvalidArgument, "event is not a JSON object"};
  }
  EngineEvent event;
  event.is_error = json.contains("error");
  const auto choices = json.find("choices");
  if (choices != json.end() && choices->is_array() && !choices->empty()) {
    const Json& choice = choices->front();
    event.has_token = true;
    if (choice.contains("delta")) {
      event.text = choice["delta"].value("content", "");
    } else {
      event.text = choice.value("text", "");
    }
    const auto reason = choice.find("finish_reason");
    if (reason != choice.end() && reason->is_string()) {
      event.finish_reason = reason->get<std::string>();
    }
  }
  const auto usage = json.find("usage");
  if (usage != json.end() && usage->is_object()) {
    event.has_usage = true;
    event.recomputed_tokens =
        usage->value("recomputed_tokens", std::int64_t{0});
    const auto details = usage->find("prompt_tokens_details");
    if (details != usage->end() && details->is_object()) {
      event.cached_tokens = details->value("cached_tokens", std::int64_t{0});
    }
  }
  return event;
}

std::string ExtractText(const std::string& events) {
  std::string text;
  ForEachEventData(events, [&](const std::string& data) {
    const Result<EngineEvent> event = ParseEngineEvent(data);
    if (Ok(event)) text += Value(event).text;
  });
  return text;
}

std::string MakeNonStreamingResponse(const CompletionRequest& request,
                                     const RequestId& id,
                                     const std::string& events) {
  std::string text;
  std::string finish_reason = "stop";
  std::int64_t tokens = 0;
  ForEachEventData(events, [&](const std::string& data) {
    const Result<EngineEvent> event = ParseEngineEvent(data);
    if (!Ok(event) || !Value(event).has_token) return;
    text += Value(event).text;
    ++tokens;
    if (!Value(event).finish_reason.empty()) {
      finish_reason = Value(event).finish_reason;
    }
  });
  const bool chat = request.api == CompletionApi::kChat;
  Json choice = {{"index", 0}, {"finish_reason", finish_reason}};
  if (chat) {
    choice["message"] = {{"role", "assistant"}, {"content", text}};
  } else {
    choice["text"] = text;
  }
  const std::int64_t prompt_tokens = request.spec.prompt_tokens;
  const Json response = {
      {"id", ToString(id)},
      {"object", chat ? "chat.completion" : "text_completion"},
      {"model", request.spec.model},
      {"choices", Json::array({choice})},
      {"usage",
       {{"prompt_tokens", prompt_tokens},
        {"completion_tokens", tokens},
        {"total_tokens", prompt_tokens + tokens}}}};
  return response.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::uint64_t HashText(const std::string& text) {
  return XXH64(text.data(), text.size(), 0);
}

std::int64_t EstimateTokens(const std::string& text) {
  return (static_cast<std::int64_t>(text.size()) + kEstimatedBytesPerToken -
          1) /
         kEstimatedBytesPerToken;
}

}  // namespace pollenledge
