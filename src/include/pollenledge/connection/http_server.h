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

/// An HTTP server based on Poco::Net with the limits that every server of the
/// system applies: on the number of threads, on the number of queued
/// connections, on the time to receive a request's header, and on the number
/// and size of header fields (Poco's defaults).
///
/// The handler is called on the server's threads and must be thread-safe.
class BoundedHttpServer {
 public:
  using Handler = std::function<void(Poco::Net::HTTPServerRequest&,
                                     Poco::Net::HTTPServerResponse&)>;

  struct Options {
    std::string address;
    int threads = 16;
    /// For receiving a request's header, for each socket operation, and for
    /// idle connections.
    Duration timeout{std::chrono::seconds(10)};
  };

  /// Throws `Poco::Exception` if it cannot listen on the address.
  BoundedHttpServer(const Options& options, Handler handle);
  /// Stops accepting connections and waits for the requests in progress.
  ~BoundedHttpServer();

  BoundedHttpServer(const BoundedHttpServer&) = delete;
  BoundedHttpServer& operator=(const BoundedHttpServer&) = delete;

  /// The bound port, for an address that requested port 0.
  int port() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

/// Reads the request's body. Returns an error if the body is larger than
/// `max_bytes`, truncated, or received too slowly.
Result<std::string> ReadBody(Poco::Net::HTTPServerRequest& request,
                             std::int64_t max_bytes);

/// Sends a complete response.
void SendHttpResponse(Poco::Net::HTTPServerResponse& response, int status,
                      const std::string& content_type, const std::string& body);

/// Sends an RFC 9457 problem document. `type` is the last path segment of the
/// problem's type URI. A positive `retry_after`, for problems that a retry can
/// solve, is sent as `Retry-After`.
void SendProblem(Poco::Net::HTTPServerResponse& response, int status,
                 const std::string& type, const std::string& detail,
                 Duration retry_after = Duration(0));

/// Returns the bearer token of the `Authorization` header, or an empty string.
std::string BearerToken(const Poco::Net::HTTPServerRequest& request);

}  // namespace pollenledge
