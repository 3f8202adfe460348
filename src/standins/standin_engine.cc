// Stands in for a model engine: streamed chat and text completions with a
// deterministic answer for each prompt, a prefix cache, load reports, resuming
// with and without an exported KV cache.
//
// --behaviour and POST /standin/behaviour take: "slots",
// "prefill_tokens_per_s", "between_tokens_ms", "cache_prompts", "slowdown"
// (factor on all times), "refuse" (answer 429), "leaving", "break_after_tokens"
// (cut the stream once), "crash_on" (exit when a prompt holds this text).

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

// What one request asks of the engine.
struct Work {
  std::string prompt;
  std::string id;
  std::int64_t prompt_tokens = 0;
  std::int64_t first_token = 0;
  std::int64_t last_token = 0;
  std::string kv_source;
  bool chat = true;
};

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

  bool TakeBreak(std::int64_t tokens) {
    const std::lock_guard lock(mutex_);
    if (behaviour_.break_after_tokens == 0 ||
        tokens < behaviour_.break_after_tokens) {
      return false;
    }
    behaviour_.break_after_tokens = 0;
    return true;
  }

  bool Enter(const std::string& id) {
    const std::lock_guard lock(mutex_);
    if (behaviour_.refuse || running_ >= behaviour_.slots * 4) return false;
    ++running_;
    ++executions_[id];
    return true;
  }
  void Leave(const std::string& id, std::int64_t tokens) {
    const std::lock_guard lock(mutex_);
    --running_;
    computed_[id] = tokens;
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

  // Tokens of the prompt that are cached, from an earlier prompt with the same
  // beginning. Remembers this one.
  std::int64_t Cached(const std::string& prompt) {
    const std::lock_guard lock(mutex_);
    std::size_t longest = 0;
    for (const std::string& cached : cache_) {
      const std::size_t limit = std::min(cached.size(), prompt.size());
      std::size_t same = 0;
      while (same < limit && cached[same] == prompt[same]) ++same;
      longest = std::max(longest, same);
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
  std::map<std::string, std::int64_t> computed_;
  std::list<std::string> cache_;
};

std::string TokenText(const std::string& prompt, std::int64_t index) {
  const std::uint64_t hash =
      pollenledge::HashText(prompt + "#" + std::to_string(index));
  return " w" + std::to_string(hash % 10'000);
}

std::string TokenEvent(const Work& work, std::int64_t index) {
  const std::string text = TokenText(work.prompt, index);
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

std::string UsageEvent(const Work& work, std::int64_t cached,
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

Work ParseWork(const Json& body, bool chat) {
  Work work;
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

// True if the cache of the request could be fetched from the engine that ran
// it before.
bool ImportCache(const Work& work) {
  if (work.kv_source.empty()) return false;
  pollenledge::HttpCall call;
  call.address = work.kv_source;
  call.path = "/v1/kv/" + work.id;
  const auto answer = pollenledge::Call(call);
  return pollenledge::Ok(answer) && pollenledge::Value(answer).status == 200;
}

void SleepFor(double milliseconds) {
  std::this_thread::sleep_for(
      std::chrono::duration<double, std::milli>(milliseconds));
}

void Complete(Engine& engine, const Work& work, HTTPServerRequest& request,
              HTTPServerResponse& response) {
  const Behaviour behaviour = engine.behaviour();
  if (!behaviour.crash_on.empty() &&
      work.prompt.find(behaviour.crash_on) != std::string::npos) {
    _exit(1);
  }
  const bool imported = ImportCache(work);
  const std::int64_t needed = work.prompt_tokens + work.first_token;
  const std::int64_t cached =
      imported ? needed : std::min(needed, engine.Cached(work.prompt));
  const std::int64_t recomputed = work.first_token > 0 ? needed - cached : 0;
  SleepFor(static_cast<double>(needed - cached) /
           behaviour.prefill_tokens_per_s * 1000 * behaviour.slowdown);
  response.setContentType("text/event-stream");
  response.setChunkedTransferEncoding(true);
  std::ostream& out = response.send();
  for (std::int64_t i = work.first_token; i < work.last_token; ++i) {
    out << TokenEvent(work, i) << std::flush;
    if (!out.good()) return;
    if (engine.TakeBreak(i + 1)) {
      dynamic_cast<Poco::Net::HTTPServerRequestImpl&>(request)
          .socket()
          .shutdown();
      return;
    }
    SleepFor(behaviour.between_tokens_ms * behaviour.slowdown);
  }
  out << UsageEvent(work, std::min(cached, work.prompt_tokens), recomputed)
      << "data: [DONE]\n\n"
      << std::flush;
}

void Handle(Engine& engine, HTTPServerRequest& request,
            HTTPServerResponse& response) {
  const std::string path = request.getURI();
  if (path == "/v1/load") {
    standin::SendJson(response, 200, engine.Load());
  } else if (path == "/standin/behaviour") {
    engine.SetBehaviour(standin::ReadJson(request));
    standin::SendJson(response, 200, Json::object());
  } else if (path == "/standin/executions") {
    standin::SendJson(response, 200, engine.Executions());
  } else if (path.rfind("/v1/kv/", 0) == 0) {
    standin::SendJson(response, 200, Json::object());
  } else {
    const Json body = standin::ReadJson(request);
    if (!body.is_object()) {
      standin::SendJson(response, 400, {{"error", "body is not JSON"}});
      return;
    }
    const Work work = ParseWork(body, path == "/v1/chat/completions");
    if (!engine.Enter(work.id)) {
      standin::SendJson(response, 429, {{"error", "no room"}});
      return;
    }
    try {
      Complete(engine, work, request, response);
    } catch (const std::exception&) {
      // The caller is gone; the slot is given back below.
    }
    engine.Leave(work.id, work.last_token);
  }
}

}  // namespace

int main(int argc, char** argv) {
  const standin::Options options =
      standin::ParseOptions(argc, argv, "standin_engine: a model engine.");
  Engine engine(options.behaviour);
  return standin::Serve(options, [&engine](auto& request, auto& response) {
    Handle(engine, request, response);
  });
}
