#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "pollenledge/result.h"

namespace pollenledge {

/// One header field, spelled as it came.
struct HttpField {
  std::string name;
  std::string value;

  friend bool operator==(const HttpField&, const HttpField&) = default;
};

/// Start line and header fields of an HTTP/1.1 message.
struct HttpHead {
  std::string method;  ///< Requests only.
  std::string target;  ///< Requests only: path and query as they came.
  int status = 0;      ///< Answers only.
  std::string reason;  ///< Answers only.
  std::vector<HttpField> fields;

  friend bool operator==(const HttpHead&, const HttpHead&) = default;

  /// The value of the first field called `name`, whatever its case; null if
  /// there is none.
  const std::string* Find(std::string_view name) const;
};

/// True if two header names are the same but for case.
bool SameHeader(std::string_view a, std::string_view b);

/// True if a field concerns one connection only and is not forwarded: the
/// well-known ones, and those that `connection_value` (of a `Connection`
/// field) names.
bool IsHopByHop(std::string_view name, std::string_view connection_value);

/// Reads the HTTP/1.1 messages of one connection from bytes in any portions.
///
/// Bytes of the next message wait until `Next`. What leaves room for two
/// readings of where a message ends is an error: several lengths, a length
/// beside chunks, folded lines, bare line feeds. Parsing is Boost.Beast's.
/// Not thread-safe.
class HttpReader {
 public:
  enum class Role : std::uint8_t { kRequests, kAnswers };

  HttpReader(Role role, std::size_t max_header_bytes,
             std::size_t max_body_bytes);
  ~HttpReader();
  HttpReader(const HttpReader&) = delete;
  HttpReader& operator=(const HttpReader&) = delete;

  /// Takes received bytes and parses as far as the present message goes. An
  /// error is final for the connection.
  Status Append(std::string_view bytes);
  /// The peer ended its sending in order. Completes an answer without length.
  Status End();

  bool has_head() const;
  const HttpHead& head() const;
  /// Moves out the part of the body that has come since the last call.
  std::string TakeBody();
  /// True when the present message was read whole.
  bool complete() const;
  /// True if the peer keeps the connection open after this message.
  bool keep_alive() const;
  /// True if the error is that the head or the body is over its limit.
  bool head_too_large() const;
  bool body_too_large() const;
  /// Answers to this method have no body, whatever their head says.
  void ExpectAnswerTo(std::string_view method);

  /// Begins the next message and parses what has come of it.
  Status Next();
  /// Received bytes that are not part of the present message.
  std::size_t unread_bytes() const;
  /// True if no byte of a message has come since the last `Next`.
  bool idle() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace pollenledge
