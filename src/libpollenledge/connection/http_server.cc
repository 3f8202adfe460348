#include "pollenledge/connection/http_server.h"

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/ThreadPool.h>

#include <condition_variable>
#include <istream>
#include <mutex>
#include <nlohmann/json.hpp>
#include <ostream>
#include <thread>
#include <utility>
#include <vector>

#include "pollenledge/process/log.h"

namespace pollenledge {
namespace {

constexpr int kMaxWaitingConnections = 1024;
// What is read and dropped of a body that is too large, so that its sender
// sees the answer instead of a connection reset.
constexpr std::size_t kMaxDropped = 16UL << 20;
constexpr Duration kMaxDropTime = std::chrono::seconds(2);
constexpr Duration kSweepInterval = std::chrono::milliseconds(250);

// Shuts down connections whose first request's header does not arrive in time.
// The server's receive time-out alone does not bound a caller that sends one
// byte now and then.
class HeaderDeadline : public Poco::Net::TCPServerConnectionFilter {
 public:
  explicit HeaderDeadline(Duration limit)
      : limit_(limit), thread_([this] { Sweep(); }) {}

  bool accept(const Poco::Net::StreamSocket& socket) override {
    const std::lock_guard lock(mutex_);
    pending_.push_back({socket, std::chrono::steady_clock::now()});
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

  void Stop() {
    {
      const std::lock_guard lock(mutex_);
      stopping_ = true;
    }
    changed_.notify_all();
    if (thread_.joinable()) thread_.join();
  }

 protected:
  ~HeaderDeadline() override { Stop(); }

 private:
  struct Pending {
    Poco::Net::StreamSocket socket;
    std::chrono::steady_clock::time_point since;
  };

  void Sweep() {
    std::unique_lock lock(mutex_);
    while (!stopping_) {
      changed_.wait_for(lock, kSweepInterval, [this] { return stopping_; });
      const auto oldest = std::chrono::steady_clock::now() - limit_;
      for (std::size_t i = 0; i < pending_.size();) {
        if (pending_[i].since > oldest) {
          ++i;
          continue;
        }
        try {
          pending_[i].socket.shutdown();
        } catch (const Poco::Exception&) {
          // Closed by the caller in the meantime.
        }
        pending_[i] = pending_.back();
        pending_.pop_back();
      }
    }
  }

  const Duration limit_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::vector<Pending> pending_;
  bool stopping_ = false;
  std::thread thread_;
};

void DropBody(std::istream& in) {
  const auto end = std::chrono::steady_clock::now() + kMaxDropTime;
  char buffer[16 * 1024];
  std::size_t dropped = 0;
  while (in.good() && dropped < kMaxDropped &&
         std::chrono::steady_clock::now() < end) {
    in.read(buffer, sizeof buffer);
    dropped += static_cast<std::size_t>(in.gcount());
  }
}

class Handler : public Poco::Net::HTTPRequestHandler {
 public:
  Handler(const BoundedHttpServer::Handle& handle, HeaderDeadline* deadline)
      : handle_(handle), deadline_(deadline) {}

  void handleRequest(Poco::Net::HTTPServerRequest& request,
                     Poco::Net::HTTPServerResponse& response) override {
    deadline_->OnHeader(
        dynamic_cast<Poco::Net::HTTPServerRequestImpl&>(request).socket());
    try {
      handle_(request, response);
    } catch (const std::exception& error) {
      // The caller's connection broke; nobody is left to be told.
      Log(LogLevel::kDebug, "connection_failed", {{"why", error.what()}});
    }
  }

 private:
  const BoundedHttpServer::Handle& handle_;
  HeaderDeadline* deadline_;
};

class Factory : public Poco::Net::HTTPRequestHandlerFactory {
 public:
  Factory(BoundedHttpServer::Handle handle, HeaderDeadline* deadline)
      : handle_(std::move(handle)), deadline_(deadline) {}

  Poco::Net::HTTPRequestHandler* createRequestHandler(
      const Poco::Net::HTTPServerRequest&) override {
    return new Handler(handle_, deadline_);
  }

 private:
  BoundedHttpServer::Handle handle_;
  HeaderDeadline* deadline_;
};

}  // namespace

class BoundedHttpServer::Impl {
 public:
  Impl(const Options& options, Handle handle)
      : threads_(2, options.threads),
        deadline_(new HeaderDeadline(options.timeout)),
        server_(
            new Factory(std::move(handle), deadline_.get()), threads_,
            Poco::Net::ServerSocket(Poco::Net::SocketAddress(options.address)),
            MakeParams(options)) {
    server_.setConnectionFilter(deadline_);
    server_.start();
  }

  ~Impl() {
    server_.stop();
    threads_.joinAll();
    deadline_->Stop();
  }

  int port() const { return server_.port(); }

 private:
  static Poco::Net::HTTPServerParams* MakeParams(const Options& options) {
    auto* params = new Poco::Net::HTTPServerParams;
    params->setTimeout(Poco::Timespan(options.timeout.count()));
    params->setKeepAliveTimeout(Poco::Timespan(options.timeout.count()));
    params->setMaxThreads(options.threads);
    params->setMaxQueued(kMaxWaitingConnections);
    params->setKeepAlive(true);
    return params;
  }

  Poco::ThreadPool threads_;
  Poco::AutoPtr<HeaderDeadline> deadline_;
  Poco::Net::HTTPServer server_;
};

BoundedHttpServer::BoundedHttpServer(const Options& options, Handle handle)
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
  if (has_length && request.getContentLength64() > max_bytes) {
    DropBody(in);
    return too_large;
  }
  std::string body;
  char buffer[16 * 1024];
  try {
    while (in.good()) {
      in.read(buffer, sizeof buffer);
      body.append(buffer, static_cast<std::size_t>(in.gcount()));
      if (static_cast<std::int64_t>(body.size()) > max_bytes) {
        DropBody(in);
        return too_large;
      }
    }
  } catch (const Poco::Exception&) {
    return Error{ErrorCode::kUnavailable, "the body did not arrive in time"};
  }
  if (has_length &&
      static_cast<std::int64_t>(body.size()) < request.getContentLength64()) {
    return Error{ErrorCode::kUnavailable, "the body was cut off"};
  }
  return body;
}

void SendBody(Poco::Net::HTTPServerResponse& response, int status,
              const std::string& content_type, const std::string& body) {
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
  SendBody(
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
