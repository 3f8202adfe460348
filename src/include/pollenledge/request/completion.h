#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string>

#include "pollenledge/process/entry_events.h"
#include "pollenledge/request/request.h"
#include "pollenledge/result.h"

namespace pollenledge {

/// Which of the two completion calls a caller made.
enum class CompletionApi : std::uint8_t { kChat, kText };

/// A caller's completion request, checked.
struct CompletionRequest {
  CompletionApi api = CompletionApi::kChat;
  RequestSpec spec;
  bool include_usage = false;  ///< The caller asked for a usage event.
};

/// Parses and checks the body of `POST /v1/chat/completions` or
/// `/v1/completions`. Fills every field of the spec but the idempotency key.
/// An error names the field, what was found and what is allowed.
Result<CompletionRequest> ParseCompletion(CompletionApi api,
                                          const std::string& customer,
                                          const std::string& body);

/// The body to send to an engine: the caller's, streamed, with a usage event,
/// and with where to go on if `resume` says that tokens were delivered.
/// `delivered_text` is their text.
std::string MakeEngineBody(const std::string& body, const RequestId& id,
                           const ResumePoint& resume,
                           const std::string& delivered_text);

/// What one server-sent event of an engine holds.
struct EngineEvent {
  std::string text;  ///< Of the token, if it has one.
  bool has_token = false;
  std::string finish_reason;
  bool has_usage = false;
  std::int64_t cached_tokens = 0;
  std::int64_t recomputed_tokens = 0;
  bool is_error = false;
};

/// Reads the JSON of one event's `data` field.
Result<EngineEvent> ParseEngineEvent(const std::string& data);

/// The text of all token events in `events`, which holds whole server-sent
/// events.
std::string JoinText(const std::string& events);

/// A whole, not streamed, answer made of an engine's events.
std::string MakeWholeAnswer(const CompletionRequest& request,
                            const RequestId& id, const std::string& events);

/// 64-bit hash of `text`.
std::uint64_t HashText(const std::string& text);

/// Estimate of the tokens in `text`, before any engine has counted them.
std::int64_t EstimateTokens(const std::string& text);

}  // namespace pollenledge
