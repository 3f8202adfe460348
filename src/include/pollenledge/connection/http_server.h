#pragma once

#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>

#include <functional>
#include <memory>
#include <string>

#include "pollenledge/request/request.h"
#include "pollenledge/result.h"
#include "pollenledge/time.h"

namespace pollenledge {

/// An HTTP server over Poco::Net with the bounds that every server of the
/// system has: on threads, on waiting connections, on the time to send a
/// request's header, and on headers' number and size (Poco's own).
///
/// `handle` is called on the server's threads, several at a time.
class BoundedHttpServer {
 public:
  using Handle = std::function<void(Poco::Net::HTTPServerRequest&,
                                    Poco::Net::HTTPServerResponse&)>;

  struct Options {
    std::string address;
    int threads = 16;
    Duration timeout{std::chrono::seconds(10)};
  };

  /// Throws `Poco::Exception` if the address cannot be listened on.
  BoundedHttpServer(const Options& options, Handle handle);
  /// Stops taking connections and waits for the requests in progress.
  ~BoundedHttpServer();

  BoundedHttpServer(const BoundedHttpServer&) = delete;
  BoundedHttpServer& operator=(const BoundedHttpServer&) = delete;

  /// The port in use, where the address asked for port 0.
  int port() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

/// Reads the body, at most `max_bytes` of it. An error if it is larger, cut
/// off, or comes too slowly.
Result<std::string> ReadBody(Poco::Net::HTTPServerRequest& request,
                             std::int64_t max_bytes);

/// Sends a whole answer.
void SendBody(Poco::Net::HTTPServerResponse& response, int status,
              const std::string& content_type, const std::string& body);

/// Sends an RFC 9457 problem document, with `Retry-After` where coming back
/// helps. `type` is the last part of the problem's type.
void SendProblem(Poco::Net::HTTPServerResponse& response, int status,
                 const std::string& type, const std::string& detail,
                 Duration retry_after = Duration(0));

/// The bearer token of the request's `Authorization` header; empty if none.
std::string BearerToken(const Poco::Net::HTTPServerRequest& request);

}  // namespace pollenledge
