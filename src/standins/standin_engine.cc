// Stand-in for a model engine. It streams chat and text completions whose text
// depends only on the prompt, has a prefix cache, reports its load, and resumes
// streams with or without the KV cache of the engine that ran them before.
//
// --behaviour and POST /standin/behaviour accept these keys:
//   slots                 requests that run at once
//   prefill_tokens_per_s  speed at which the prompt is processed
//   between_tokens_ms     time between two tokens of the response
//   cache_prompts         number of prompts in the prefix cache
//   slowdown              factor on all times
//   refuse                reject requests with status 429
//   leaving               report in /v1/load that the engine is leaving
//   break_after_tokens    abort one stream after this many tokens; 0: never
//   crash_on              exit when a prompt contains this text

#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/StreamSocket.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <list>
#include <map>
#include <mutex>
#include <thread>

#include "pollenledge/connection/http.h"
#include "pollenledge/request/completion.h"
#include "standin.h"

namespace {

using Json = nlohmann::json;
using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerResponse;
namespace standin = pollenledge::standin;

struct Behaviour {
  int slots = 8;
  double prefill_tokens_per_s = 8000;
  double between_tokens_ms = 5;
  std::size_t cache_prompts = 64;
  double slowdown = 1;
  bool refuse = false;
  bool leaving = false;
  int break_after_tokens = 0;
  std::string crash_on;
};

// One completion request. A resumed one starts at `first_token`, and
// `kv_source` is the address of the engine that has its KV cache, if any.
struct CompletionWork {
  std::string prompt;
  std::string id;
  std::int64_t prompt_tokens = 0;
  std::int64_t first_token = 0;
  std::int64_t last_token = 0;
  std::string kv_source;
  bool chat = true;
};

// State of the engine. Thread-safe.
class Engine {
 public:
  explicit Engine(const Json& behaviour) { SetBehaviour(behaviour); }

  void SetBehaviour(const Json& json) {
    const std::lock_guard lock(mutex_);
    Behaviour& b = behaviour_;
    b.slots = json.value("slots", b.slots);
    b.prefill_tokens_per_s =
        json.value("prefill_tokens_per_s", b.prefill_tokens_per_s);
    b.between_tokens_ms = json.value("between_tokens_ms", b.between_tokens_ms);
    b.cache_prompts = json.value("cache_prompts", b.cache_prompts);
    b.slowdown = json.value("slowdown", b.slowdown);
    b.refuse = json.value("refuse", b.refuse);
    b.leaving = json.value("leaving", b.leaving);
    b.break_after_tokens =
        json.value("break_after_tokens", b.break_after_tokens);
    b.crash_on = json.value("crash_on", b.crash_on);
  }

  Behaviour behaviour() {
    const std::lock_guard lock(mutex_);
    return behaviour_;
  }

  // True if a stream must be aborted after `tokens` tokens. Later streams are
  // not aborted until the behaviour is set again.
  bool ConsumeStreamBreak(std::int64_t tokens) {
    const std::lock_guard lock(mutex_);
    if (behaviour_.break_after_tokens == 0 ||
        tokens < behaviour_.break_after_tokens) {
      return false;
    }
    behaviour_.break_after_tokens = 0;
    return true;
  }

  // Registers a request as running. False if `refuse` is set or the
  // requests in progress are four times as many as the slots.
  bool TryStart(const std::string& id) {
    const std::lock_guard lock(mutex_);
    if (behaviour_.refuse || running_ >= behaviour_.slots * 4) return false;
    ++running_;
    ++executions_[id];
    return true;
  }
  void Finish(const std::string& id, std::int64_t tokens) {
    const std::lock_guard lock(mutex_);
    --running_;
    last_tokens_[id] = tokens;
  }

  Json Load() {
    const std::lock_guard lock(mutex_);
    return {{"running", std::min(running_, behaviour_.slots)},
            {"waiting", std::max(0, running_ - behaviour_.slots)},
            {"prefill_tokens_per_s", behaviour_.prefill_tokens_per_s},
            {"between_tokens_ms", behaviour_.between_tokens_ms},
            {"leaving", behaviour_.leaving}};
  }
  Json Executions() {
    const std::lock_guard lock(mutex_);
    return executions_;
  }

  // Returns the number of the prompt's tokens (four characters each) in the
  // longest prefix that it shares with a cached prompt, and adds it to the
  // cache.
  std::int64_t LookUpAndCache(const std::string& prompt) {
    const std::lock_guard lock(mutex_);
    std::size_t longest = 0;
    for (const std::string& cached : cache_) {
      const std::size_t limit = std::min(cached.size(), prompt.size());
      std::size_t common = 0;
      while (common < limit && cached[common] == prompt[common]) ++common;
      longest = std::max(longest, common);
    }
    cache_.remove(prompt);
    cache_.push_front(prompt);
    if (cache_.size() > behaviour_.cache_prompts) cache_.pop_back();
    return static_cast<std::int64_t>(longest) / 4;
  }

 private:
  std::mutex mutex_;
  Behaviour behaviour_;
  int running_ = 0;
  std::map<std::string, int> executions_;
  std::map<std::string, std::int64_t> last_tokens_;
  std::list<std::string> cache_;
};

// Text of the response's token at `index`, deterministic for each prompt.
std::string MakeTokenText(const std::string& prompt, std::int64_t index) {
  const std::uint64_t hash =
      pollenledge::HashText(prompt + "#" + std::to_string(index));
  return " w" + std::to_string(hash % 10'000);
}

std::string MakeTokenEvent(const CompletionWork& work, std::int64_t index) {
  const std::string text = MakeTokenText(work.prompt, index);
  Json choice = {{"index", 0}};
  choice["finish_reason"] =
      index + 1 == work.last_token ? Json("stop") : Json(nullptr);
  if (work.chat) {
    choice["delta"] = {{"content", text}};
  } else {
    choice["text"] = text;
  }
  const Json event = {
      {"id", work.id},
      {"object", work.chat ? "chat.completion.chunk" : "text_completion"},
      {"choices", Json::array({choice})}};
  return "data: " + event.dump() + "\n\n";
}

std::string MakeUsageEvent(const CompletionWork& work, std::int64_t cached,
                           std::int64_t recomputed) {
  const Json event = {
      {"id", work.id},
      {"choices", Json::array()},
      {"usage",
       {{"prompt_tokens", work.prompt_tokens},
        {"completion_tokens", work.last_token - work.first_token},
        {"recomputed_tokens", recomputed},
        {"prompt_tokens_details", {{"cached_tokens", cached}}}}}};
  return "data: " + event.dump() + "\n\n";
}

CompletionWork ParseCompletionWork(const Json& body, bool chat) {
  CompletionWork work;
  work.chat = chat;
  if (chat) {
    for (const Json& message : body.value("messages", Json::array())) {
      work.prompt += message.value("role", "") + "\n" +
                     message.value("content", "") + "\n";
    }
  } else {
    work.prompt = body.value("prompt", "");
  }
  work.id = body.value("request_id", "");
  work.prompt_tokens = pollenledge::EstimateTokens(work.prompt);
  work.last_token = body.value("max_tokens", 256);
  if (body.contains("resume")) {
    work.first_token = body["resume"].value("tokens", 0);
    work.kv_source = body["resume"].value("kv_source", "");
  }
  return work;
}

// True if the KV cache of the request could be fetched from the engine that ran
// it before.
bool ImportKvCache(const CompletionWork& work) {
  if (work.kv_source.empty()) return false;
  pollenledge::HttpCall call;
  call.address = work.kv_source;
  call.path = "/v1/kv/" + work.id;
  const auto kv_response = pollenledge::MakeHttpCall(call);
  return pollenledge::Ok(kv_response) &&
         pollenledge::Value(kv_response).status == 200;
}

void SleepFor(double milliseconds) {
  std::this_thread::sleep_for(
      std::chrono::duration<double, std::milli>(milliseconds));
}

void StreamCompletion(Engine& engine, const CompletionWork& work,
                      HTTPServerRequest& request,
                      HTTPServerResponse& response) {
  const Behaviour behaviour = engine.behaviour();
  if (!behaviour.crash_on.empty() &&
      work.prompt.find(behaviour.crash_on) != std::string::npos) {
    _exit(1);
  }
  const bool has_imported_cache = ImportKvCache(work);
  const std::int64_t needed = work.prompt_tokens + work.first_token;
  const std::int64_t cached =
      has_imported_cache ? needed
                         : std::min(needed, engine.LookUpAndCache(work.prompt));
  const std::int64_t recomputed = work.first_token > 0 ? needed - cached : 0;
  SleepFor(static_cast<double>(needed - cached) /
           behaviour.prefill_tokens_per_s * 1000 * behaviour.slowdown);
  response.setContentType("text/event-stream");
  response.setChunkedTransferEncoding(true);
  std::ostream& out = response.send();
  for (std::int64_t i = work.first_token; i < work.last_token; ++i) {
    out << MakeTokenEvent(work, i) << std::flush;
    if (!out.good()) return;
    if (engine.ConsumeStreamBreak(i + 1)) {
      dynamic_cast<Poco::Net::HTTPServerRequestImpl&>(request)
          .socket()
          .shutdown();
      return;
    }
    SleepFor(behaviour.between_tokens_ms * behaviour.slowdown);
  }
  out << MakeUsageEvent(work, std::min(cached, work.prompt_tokens), recomputed)
      << "data: [DONE]\n\n"
      << std::flush;
}

void HandleRequest(Engine& engine, HTTPServerRequest& request,
                   HTTPServerResponse& response) {
  const std::string path = request.getURI();
  if (path == "/v1/load") {
    standin::SendJsonResponse(response, 200, engine.Load());
  } else if (path == "/standin/behaviour") {
    engine.SetBehaviour(standin::ReadJsonBody(request));
    standin::SendJsonResponse(response, 200, Json::object());
  } else if (path == "/standin/executions") {
    standin::SendJsonResponse(response, 200, engine.Executions());
  } else if (path.rfind("/v1/kv/", 0) == 0) {
    standin::SendJsonResponse(response, 200, Json::object());
  } else {
    const Json body = standin::ReadJsonBody(request);
    if (!body.is_object()) {
      standin::SendJsonResponse(response, 400, {{"error", "body is not JSON"}});
      return;
    }
    const CompletionWork work =
        ParseCompletionWork(body, path == "/v1/chat/completions");
    if (!engine.TryStart(work.id)) {
      standin::SendJsonResponse(response, 429, {{"error", "no free slot"}});
      return;
    }
    try {
      StreamCompletion(engine, work, request, response);
    } catch (const std::exception&) {
      // The caller has disconnected; the slot is released below.
    }
    engine.Finish(work.id, work.last_token);
  }
}

}  // namespace

int main(int argc, char** argv) {
  const standin::Options options = standin::ParseOptions(
      argc, argv, "standin_engine: stand-in for a model engine.");
  Engine engine(options.behaviour);
  return standin::Serve(options, [&engine](auto& request, auto& response) {
    HandleRequest(engine, request, response);
  });
}
