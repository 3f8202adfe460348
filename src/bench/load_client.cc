// Sends streamed chat completions from several threads to an address, an entry
// or an engine itself, and prints the rate and the latencies.
//
// load_client ADDRESS KEY MODEL THREADS REQUESTS MAX_TOKENS

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

struct Plan {
  std::string address;
  std::string key;
  std::string body;
  int requests = 0;
};

struct Result {
  std::vector<double> first_token_ms;
  std::int64_t tokens = 0;
  int failed = 0;
};

void RunOne(const Plan& plan, Poco::Net::HTTPClientSession* session,
            Result* result) {
  const auto start = Clock::now();
  Poco::Net::HTTPRequest request("POST", "/v1/chat/completions", "HTTP/1.1");
  request.set("Authorization", "Bearer " + plan.key);
  request.setContentLength(static_cast<std::streamsize>(plan.body.size()));
  session->sendRequest(request) << plan.body << std::flush;
  Poco::Net::HTTPResponse response;
  std::istream& in = session->receiveResponse(response);
  std::string line;
  bool first = true;
  bool ended = false;
  while (std::getline(in, line)) {
    if (line.rfind("data: {", 0) == 0) {
      if (first) {
        const std::chrono::duration<double, std::milli> taken =
            Clock::now() - start;
        result->first_token_ms.push_back(taken.count());
      }
      first = false;
      ++result->tokens;
    }
    if (line.rfind("data: [DONE]", 0) == 0) ended = true;
  }
  if (!ended) ++result->failed;
}

Result Run(const Plan& plan) {
  Result result;
  for (int i = 0; i < plan.requests; ++i) {
    try {
      Poco::Net::HTTPClientSession session{
          Poco::Net::SocketAddress(plan.address)};
      RunOne(plan, &session, &result);
    } catch (const std::exception&) {
      ++result.failed;
    }
  }
  return result;
}

double Percentile(const std::vector<double>& sorted, double part) {
  if (sorted.empty()) return 0;
  const auto index =
      static_cast<std::size_t>(part * static_cast<double>(sorted.size() - 1));
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
  Plan plan;
  plan.address = argv[1];
  plan.key = argv[2];
  plan.requests = std::atoi(argv[5]);
  plan.body = std::string("{\"model\":\"") + argv[3] +
              "\",\"stream\":true,\"max_tokens\":" + argv[6] +
              ",\"messages\":[{\"role\":\"user\",\"content\":\"load\"}]}";
  const int thread_count = std::atoi(argv[4]);
  std::vector<Result> results(static_cast<std::size_t>(thread_count));
  std::vector<std::thread> threads;
  threads.reserve(results.size());
  const auto start = Clock::now();
  for (Result& result : results) {
    threads.emplace_back([&plan, &result] { result = Run(plan); });
  }
  for (std::thread& thread : threads) thread.join();
  const std::chrono::duration<double> elapsed = Clock::now() - start;
  Result total;
  for (const Result& result : results) {
    total.tokens += result.tokens;
    total.failed += result.failed;
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
      static_cast<double>(total.tokens) / elapsed.count(),
      Percentile(total.first_token_ms, 0.5),
      Percentile(total.first_token_ms, 0.95), total.failed);
  return total.failed == 0 ? 0 : 1;
}
