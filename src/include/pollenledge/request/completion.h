#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string>

#include "pollenledge/process/entry_events.h"
#include "pollenledge/request/request.h"
#include "pollenledge/result.h"

namespace pollenledge {

/// The completion endpoint that the caller used.
enum class CompletionApi : std::uint8_t { kChat, kText };

/// A validated completion request.
struct CompletionRequest {
  CompletionApi api = CompletionApi::kChat;
  RequestSpec spec;
  bool include_usage = false;  ///< The caller requested a usage event.
};

/// Parses and validates the body of `POST /v1/chat/completions` or
/// `/v1/completions`. Sets every field of the spec except the idempotency key.
/// An error names the field, the value found and the allowed values.
Result<CompletionRequest> ParseCompletionRequest(CompletionApi api,
                                                 const std::string& customer,
                                                 const std::string& body);

/// Builds the request body for an engine from the caller's `body`. The engine
/// is asked to stream and to send a usage event. If `resume` counts tokens that
/// were already delivered, the engine continues after them; `delivered_text` is
/// their text.
std::string MakeEngineRequestBody(const std::string& body, const RequestId& id,
                                  const ResumePoint& resume,
                                  const std::string& delivered_text);

/// Content of one server-sent event of an engine.
struct EngineEvent {
  std::string text;  ///< Text of the token, if `has_token`.
  bool has_token = false;
  std::string finish_reason;
  bool has_usage = false;              ///< The event reports token usage.
  std::int64_t cached_tokens = 0;      ///< Prompt tokens found in the KV cache.
  std::int64_t recomputed_tokens = 0;  ///< Computed before by another attempt.
  bool is_error = false;               ///< The engine reports a failure.
};

/// Parses the JSON in the `data` field of one event.
Result<EngineEvent> ParseEngineEvent(const std::string& data);

/// Concatenates the text of all token events in `events`, which contains only
/// complete server-sent events.
std::string ExtractText(const std::string& events);

/// Builds a non-streaming response body from the events of an engine.
std::string MakeNonStreamingResponse(const CompletionRequest& request,
                                     const RequestId& id,
                                     const std::string& events);

/// Returns the 64-bit XXH64 hash of `text`.
std::uint64_t HashText(const std::string& text);

/// Estimates the number of tokens in `text` from its length, for use before an
/// engine has counted them.
std::int64_t EstimateTokens(const std::string& text);

}  // namespace pollenledge
