#include "pollenledge/connection/http_server.h"

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/ThreadPool.h>
#include <poll.h>

#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <functional>
#include <istream>
#include <mutex>
#include <nlohmann/json.hpp>
#include <ostream>
#include <thread>
#include <utility>
#include <vector>

#include "pollenledge/connection/body_reads.h"
#include "pollenledge/connection/socket_readiness.h"
#include "pollenledge/process/log.h"

namespace pollenledge {
namespace {

constexpr int kMaxQueuedConnections = 1024;
// Limits for discarding the rest of a body that is too large. It is read so
// that the sender receives the response instead of a connection reset.
constexpr std::size_t kMaxDiscardedBytes = 16UL << 20;
constexpr Duration kMaxDiscardTime = std::chrono::seconds(2);
constexpr Duration kSweepInterval = std::chrono::milliseconds(250);

using SteadyTime = BodyReads::SteadyTime;

// The body reads of the server to which the current thread belongs; null in
// other threads.
thread_local BodyReads* thread_body_reads = nullptr;

// Registers the read of one body, in a thread of a server.
class BodyReadScope {
 public:
  explicit BodyReadScope(Poco::Net::HTTPServerRequest& request)
      : reads_(thread_body_reads) {
    auto* known = dynamic_cast<Poco::Net::HTTPServerRequestImpl*>(&request);
    if (known == nullptr) reads_ = nullptr;
    if (reads_ != nullptr) {
      id_ = reads_->Begin(known->socket(), std::chrono::steady_clock::now());
    }
  }
  ~BodyReadScope() { Finish(); }
  BodyReadScope(const BodyReadScope&) = delete;
  BodyReadScope& operator=(const BodyReadScope&) = delete;

  void OnProgress(std::size_t bytes) {
    if (reads_ == nullptr) return;
    reads_->OnProgress(id_, bytes, std::chrono::steady_clock::now());
  }
  // Returns false if the rest of the body was cut off.
  bool Finish() {
    BodyReads* reads = std::exchange(reads_, nullptr);
    return reads == nullptr || reads->End(id_);
  }

 private:
  BodyReads* reads_;
  BodyReads::Id id_ = 0;
};

void DiscardBody(std::istream& in, BodyReadScope* scope) {
  const auto deadline = std::chrono::steady_clock::now() + kMaxDiscardTime;
  char buffer[BodyReads::kProgressStepBytes];
  std::size_t discarded_bytes = 0;
  while (in.good() && discarded_bytes < kMaxDiscardedBytes &&
         std::chrono::steady_clock::now() < deadline) {
    in.read(buffer, sizeof buffer);
    scope->OnProgress(static_cast<std::size_t>(in.gcount()));
    discarded_bytes += static_cast<std::size_t>(in.gcount());
  }
}

// Shuts down connections whose first request's header is not received in time.
// The server's receive timeout alone does not limit a caller that sends single
// bytes at intervals. A connection whose bytes wait for a free thread is not
// overdue.
class HeaderTimeoutFilter : public Poco::Net::TCPServerConnectionFilter {
 public:
  // `count_waiting` returns how many connections wait for a thread.
  HeaderTimeoutFilter(Duration timeout, BodyReads* body_reads,
                      std::function<int()> count_waiting)
      : timeout_(timeout),
        body_reads_(body_reads),
        count_waiting_(std::move(count_waiting)),
        thread_([this] { CloseOverdueConnections(); }) {}

  bool accept(const Poco::Net::StreamSocket& socket) override {
    const std::lock_guard lock(mutex_);
    pending_.push_back({socket, std::chrono::steady_clock::now(), false});
    return true;
  }

  void OnHeader(const Poco::Net::StreamSocket& socket) {
    const std::lock_guard lock(mutex_);
    for (std::size_t i = 0; i < pending_.size(); ++i) {
      if (pending_[i].socket != socket) continue;
      pending_[i] = pending_.back();
      pending_.pop_back();
      return;
    }
  }

  // Returns true if connections wait for a thread.
  bool HasWaiting() const { return count_waiting_() > 0; }

  void Stop() {
    {
      const std::lock_guard lock(mutex_);
      stopping_ = true;
    }
    wakeup_.notify_all();
    if (thread_.joinable()) thread_.join();
  }

 protected:
  ~HeaderTimeoutFilter() override { Stop(); }

 private:
  struct PendingConnection {
    Poco::Net::StreamSocket socket;
    std::chrono::steady_clock::time_point accepted_at;
    bool had_input = false;  ///< At the previous sweep after its deadline.
  };

  // Returns true if a thread of the server has still to read what the caller
  // sent, or had at the previous sweep and may be parsing it.
  static bool WaitsForServer(PendingConnection* pending) {
    const bool has_input = IsReady(pending->socket.impl()->sockfd(), POLLIN);
    return std::exchange(pending->had_input, has_input) || has_input;
  }

  void CloseOverdueConnections() {
    std::unique_lock lock(mutex_);
    while (!stopping_) {
      wakeup_.wait_for(lock, kSweepInterval, [this] { return stopping_; });
      const SteadyTime now = std::chrono::steady_clock::now();
      const int waiting = count_waiting_();
      body_reads_->CutStalled(waiting, now);
      const Duration timeout =
          waiting > 0 ? std::min(timeout_, BodyReads::kStallBound) : timeout_;
      const auto accepted_before = now - timeout;
      for (std::size_t i = 0; i < pending_.size();) {
        if (pending_[i].accepted_at > accepted_before ||
            WaitsForServer(&pending_[i])) {
          ++i;
          continue;
        }
        try {
          pending_[i].socket.shutdown();
        } catch (const Poco::Exception&) {
          // The caller has closed the connection meanwhile.
        }
        pending_[i] = pending_.back();
        pending_.pop_back();
      }
    }
  }

  const Duration timeout_;
  BodyReads* body_reads_;
  std::function<int()> count_waiting_;
  std::mutex mutex_;
  std::condition_variable wakeup_;
  std::vector<PendingConnection> pending_;
  bool stopping_ = false;
  std::thread thread_;
};

// Returns true if the caller has ended its side of the connection.
bool HasCallerEnded(Poco::Net::HTTPServerRequest& request) {
  auto* known = dynamic_cast<Poco::Net::HTTPServerRequestImpl*>(&request);
  if (known == nullptr) return false;
  Poco::Net::StreamSocket& socket = known->socket();
  return socket.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ) &&
         socket.available() == 0;
}

class RequestHandler : public Poco::Net::HTTPRequestHandler {
 public:
  RequestHandler(const BoundedHttpServer::Handler& handle,
                 HeaderTimeoutFilter* header_timeout, BodyReads* body_reads)
      : handle_(handle),
        header_timeout_(header_timeout),
        body_reads_(body_reads) {}

  void handleRequest(Poco::Net::HTTPServerRequest& request,
                     Poco::Net::HTTPServerResponse& response) override {
    header_timeout_->OnHeader(
        dynamic_cast<Poco::Net::HTTPServerRequestImpl&>(request).socket());
    thread_body_reads = body_reads_;
    // An idle connection holds a thread.
    if (header_timeout_->HasWaiting()) response.setKeepAlive(false);
    try {
      handle_(request, response);
    } catch (const std::exception& error) {
      // The caller's connection was lost, so that no response can be sent.
      Log(LogLevel::kDebug, "connection_failed", {{"why", error.what()}});
    }
  }

 private:
  const BoundedHttpServer::Handler& handle_;
  HeaderTimeoutFilter* header_timeout_;
  BodyReads* body_reads_;
};

class RequestHandlerFactory : public Poco::Net::HTTPRequestHandlerFactory {
 public:
  RequestHandlerFactory(BoundedHttpServer::Handler handle,
                        HeaderTimeoutFilter* header_timeout,
                        BodyReads* body_reads)
      : handle_(std::move(handle)),
        header_timeout_(header_timeout),
        body_reads_(body_reads) {}

  Poco::Net::HTTPRequestHandler* createRequestHandler(
      const Poco::Net::HTTPServerRequest&) override {
    return new RequestHandler(handle_, header_timeout_, body_reads_);
  }

 private:
  BoundedHttpServer::Handler handle_;
  HeaderTimeoutFilter* header_timeout_;
  BodyReads* body_reads_;
};

}  // namespace

class BoundedHttpServer::Impl {
 public:
  Impl(const Options& options, Handler handle)
      : threads_(2, options.threads),
        header_timeout_(new HeaderTimeoutFilter(
            options.timeout, &body_reads_, [this] { return CountWaiting(); })),
        server_(
            new RequestHandlerFactory(std::move(handle), header_timeout_.get(),
                                      &body_reads_),
            threads_,
            Poco::Net::ServerSocket(Poco::Net::SocketAddress(options.address)),
            MakeParams(options)) {
    server_.setConnectionFilter(header_timeout_);
    server_.start();
    running_ = &server_;
  }

  ~Impl() {
    server_.stop();
    threads_.joinAll();
    header_timeout_->Stop();
  }

  int port() const { return server_.port(); }

 private:
  static Poco::Net::HTTPServerParams* MakeParams(const Options& options) {
    auto* params = new Poco::Net::HTTPServerParams;
    params->setTimeout(Poco::Timespan(options.timeout.count()));
    params->setKeepAliveTimeout(Poco::Timespan(options.timeout.count()));
    params->setMaxThreads(options.threads);
    params->setMaxQueued(kMaxQueuedConnections);
    params->setKeepAlive(true);
    return params;
  }

  // Returns how many connections wait for a thread.
  int CountWaiting() const {
    const Poco::Net::HTTPServer* server = running_;
    return server == nullptr ? 0 : server->queuedConnections();
  }

  std::atomic<const Poco::Net::HTTPServer*> running_ = nullptr;
  BodyReads body_reads_;
  Poco::ThreadPool threads_;
  Poco::AutoPtr<HeaderTimeoutFilter> header_timeout_;
  Poco::Net::HTTPServer server_;
};

BoundedHttpServer::BoundedHttpServer(const Options& options, Handler handle)
    : impl_(std::make_unique<Impl>(options, std::move(handle))) {}

BoundedHttpServer::~BoundedHttpServer() = default;

int BoundedHttpServer::port() const { return impl_->port(); }

Result<std::string> ReadBody(Poco::Net::HTTPServerRequest& request,
                             std::int64_t max_bytes) {
  const Error too_large{
      ErrorCode::kInvalidArgument,
      "the body is larger than " + std::to_string(max_bytes) + " bytes"};
  const bool has_length = request.hasContentLength();
  std::istream& in = request.stream();
  BodyReadScope scope(request);
  if (has_length && request.getContentLength64() > max_bytes) {
    DiscardBody(in, &scope);
    return too_large;
  }
  std::string body;
  char buffer[BodyReads::kProgressStepBytes];
  try {
    while (in.good()) {
      in.read(buffer, sizeof buffer);
      scope.OnProgress(static_cast<std::size_t>(in.gcount()));
      body.append(buffer, static_cast<std::size_t>(in.gcount()));
      if (static_cast<std::int64_t>(body.size()) > max_bytes) {
        DiscardBody(in, &scope);
        return too_large;
      }
    }
  } catch (const Poco::Exception&) {
    return Error{ErrorCode::kUnavailable, "the body did not arrive in time"};
  }
  if (!scope.Finish()) {
    return Error{ErrorCode::kUnavailable,
                 "the body stood still while other callers waited"};
  }
  if (has_length &&
      static_cast<std::int64_t>(body.size()) < request.getContentLength64()) {
    return Error{ErrorCode::kUnavailable, "the body was truncated"};
  }
  // Poco takes the end of the connection for the end of a chunked body.
  const bool is_chunked = request.getChunkedTransferEncoding();
  if (is_chunked && HasCallerEnded(request))
    return Error{ErrorCode::kUnavailable, "the body may be truncated"};
  return body;
}

void SendHttpResponse(Poco::Net::HTTPServerResponse& response, int status,
                      const std::string& content_type,
                      const std::string& body) {
  response.setStatusAndReason(
      static_cast<Poco::Net::HTTPResponse::HTTPStatus>(status));
  response.setContentType(content_type);
  response.setContentLength(static_cast<std::streamsize>(body.size()));
  response.send() << body << std::flush;
}

void SendProblem(Poco::Net::HTTPServerResponse& response, int status,
                 const std::string& type, const std::string& detail,
                 Duration retry_after) {
  if (retry_after.count() > 0) {
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(retry_after);
    response.set("Retry-After", std::to_string(seconds.count()));
  }
  const nlohmann::json problem = {
      {"type", "https://pollenledge.example/problems/" + type},
      {"title", type},
      {"status", status},
      {"detail", detail}};
  SendHttpResponse(
      response, status, "application/problem+json",
      problem.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

std::string BearerToken(const Poco::Net::HTTPServerRequest& request) {
  constexpr char kScheme[] = "Bearer ";
  const std::string header = request.get("Authorization", "");
  if (header.compare(0, sizeof kScheme - 1, kScheme) != 0) return "";
  return header.substr(sizeof kScheme - 1);
}

}  // namespace pollenledge
