#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "pollenledge/connection/http_reader.h"
#include "pollenledge/result.h"
#include "pollenledge/time.h"

namespace pollenledge {

/// A complete HTTP response.
struct HttpResponse {
  int status = 0;
  std::string content_type;
  std::string body;
  /// The header fields; only `HttpClient` fills them in.
  std::vector<HttpField> fields;

  friend bool operator==(const HttpResponse&, const HttpResponse&) = default;
};

/// An HTTP request whose response is read as a whole.
struct HttpCall {
  std::string address;  ///< `host:port`.
  std::string method = "GET";
  std::string path = "/";
  std::string body;
  std::map<std::string, std::string> headers;
  Duration timeout{std::chrono::seconds(2)};
  /// `HttpClient` sends nothing at this time or later. `MakeHttpCall` ignores
  /// it.
  std::optional<TimePoint> send_before;
  /// `HttpClient` opens a connection for this call. `MakeHttpCall` ignores it.
  bool new_connection = false;
};

/// Makes the call and blocks until the response was read, which may have at
/// most `max_bytes` of body. The error `kUnavailable` means that nothing was
/// sent, `kUnknownOutcome` that the request was sent but no complete response
/// was received. Thread-safe.
Result<HttpResponse> MakeHttpCall(const HttpCall& call,
                                  std::size_t max_bytes = 64UL << 20);

}  // namespace pollenledge
