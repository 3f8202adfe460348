// Load generator: sends streamed chat completions to an entry, or directly to
// an engine, and prints throughput and time to first token as JSON.
//
// load_client ADDRESS KEY MODEL THREADS REQUESTS MAX_TOKENS
//
// Each of THREADS threads sends REQUESTS requests one after the other, each
// over a new connection. Exits with 1 if a request failed.

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/SocketAddress.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <istream>
#include <string>
#include <thread>
#include <vector>

namespace {

using Clock = std::chrono::steady_clock;

// Options of one thread; all threads use the same.
struct LoadOptions {
  std::string address;
  std::string api_key;
  std::string body;
  int requests_per_thread = 0;
};

struct LoadResult {
  std::vector<double> first_token_ms;  // Of each request that got a token.
  std::int64_t token_count = 0;
  int failure_count = 0;
};

// Sends one request and adds its outcome to `result`. A stream without the
// final `[DONE]` event counts as failed.
void SendCompletion(const LoadOptions& options,
                    Poco::Net::HTTPClientSession* session, LoadResult* result) {
  const auto start = Clock::now();
  Poco::Net::HTTPRequest request("POST", "/v1/chat/completions", "HTTP/1.1");
  request.set("Authorization", "Bearer " + options.api_key);
  request.setContentLength(static_cast<std::streamsize>(options.body.size()));
  session->sendRequest(request) << options.body << std::flush;
  Poco::Net::HTTPResponse response;
  std::istream& in = session->receiveResponse(response);
  std::string line;
  bool first = true;
  bool completed = false;
  while (std::getline(in, line)) {
    if (line.rfind("data: {", 0) == 0) {
      if (first) {
        const std::chrono::duration<double, std::milli> latency =
            Clock::now() - start;
        result->first_token_ms.push_back(latency.count());
      }
      first = false;
      ++result->token_count;
    }
    if (line.rfind("data: [DONE]", 0) == 0) completed = true;
  }
  if (!completed) ++result->failure_count;
}

LoadResult SendCompletions(const LoadOptions& options) {
  LoadResult result;
  for (int i = 0; i < options.requests_per_thread; ++i) {
    try {
      Poco::Net::HTTPClientSession session{
          Poco::Net::SocketAddress(options.address)};
      SendCompletion(options, &session, &result);
    } catch (const std::exception&) {
      ++result.failure_count;
    }
  }
  return result;
}

// The value at `fraction` (0 to 1) of the sorted values; 0 if there are none.
double Percentile(const std::vector<double>& sorted, double fraction) {
  if (sorted.empty()) return 0;
  const auto index = static_cast<std::size_t>(
      fraction * static_cast<double>(sorted.size() - 1));
  return sorted[index];
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 7) {
    std::fprintf(stderr,
                 "usage: load_client ADDRESS KEY MODEL THREADS REQUESTS "
                 "MAX_TOKENS\n");
    return 2;
  }
  LoadOptions options;
  options.address = argv[1];
  options.api_key = argv[2];
  options.requests_per_thread = std::atoi(argv[5]);
  options.body = std::string("{\"model\":\"") + argv[3] +
                 "\",\"stream\":true,\"max_tokens\":" + argv[6] +
                 ",\"messages\":[{\"role\":\"user\",\"content\":\"load\"}]}";
  const int thread_count = std::atoi(argv[4]);
  std::vector<LoadResult> results(static_cast<std::size_t>(thread_count));
  std::vector<std::thread> threads;
  threads.reserve(results.size());
  const auto start = Clock::now();
  for (LoadResult& result : results) {
    threads.emplace_back(
        [&options, &result] { result = SendCompletions(options); });
  }
  for (std::thread& thread : threads) thread.join();
  const std::chrono::duration<double> elapsed = Clock::now() - start;
  LoadResult total;
  for (const LoadResult& result : results) {
    total.token_count += result.token_count;
    total.failure_count += result.failure_count;
    total.first_token_ms.insert(total.first_token_ms.end(),
                                result.first_token_ms.begin(),
                                result.first_token_ms.end());
  }
  std::sort(total.first_token_ms.begin(), total.first_token_ms.end());
  std::printf(
      "{\"requests_per_s\": %.1f, \"tokens_per_s\": %.0f, "
      "\"first_token_ms_p50\": %.2f, \"first_token_ms_p95\": %.2f, "
      "\"failed\": %d}\n",
      static_cast<double>(total.first_token_ms.size()) / elapsed.count(),
      static_cast<double>(total.token_count) / elapsed.count(),
      Percentile(total.first_token_ms, 0.5),
      Percentile(total.first_token_ms, 0.95), total.failure_count);
  return total.failure_count == 0 ? 0 : 1;
}
