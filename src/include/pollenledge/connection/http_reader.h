#pragma once

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "pollenledge/result.h"

namespace pollenledge {

/// One header field, spelled as received.
struct HttpField {
  std::string name;
  std::string value;

  friend bool operator==(const HttpField&, const HttpField&) = default;
};

/// The start line and the header fields of an HTTP/1.1 message.
struct HttpHead {
  std::string method;  ///< Requests only.
  std::string target;  ///< Requests only: path and query as received.
  int status = 0;      ///< Responses only.
  std::string reason;  ///< Responses only.
  std::vector<HttpField> fields;

  friend bool operator==(const HttpHead&, const HttpHead&) = default;

  /// Returns the value of the first field called `name`, ignoring case, or null
  /// if there is none.
  const std::string* Find(std::string_view name) const;
};

/// Compares two header names or tokens, ignoring case.
bool EqualsIgnoreCase(std::string_view a, std::string_view b);

/// Returns true if a field applies to one connection only and must not be
/// forwarded: either a well-known hop-by-hop field or one that is listed in
/// `connection_value`, the value of a `Connection` field.
bool IsHopByHop(std::string_view name, std::string_view connection_value);

/// Incremental reader for the HTTP/1.1 messages of one connection. Accepts
/// bytes in portions of any size and parses them with Boost.Beast.
///
/// Bytes of the next message are buffered until `StartNextMessage`. A message
/// whose end is ambiguous is an error, which prevents request smuggling: more
/// than one content length, a content length together with chunked encoding,
/// folded header lines, or bare line feeds. Not thread-safe.
class HttpReader {
 public:
  enum class Role : std::uint8_t { kRequests, kResponses };

  HttpReader(Role role, std::size_t max_header_bytes,
             std::size_t max_body_bytes);
  ~HttpReader();
  HttpReader(const HttpReader&) = delete;
  HttpReader& operator=(const HttpReader&) = delete;

  /// Changes the size limits. They apply to the current message only if no byte
  /// of it has been received.
  void SetLimits(std::size_t max_header_bytes, std::size_t max_body_bytes);
  /// Appends received bytes and parses up to the end of the current message.
  /// After an error the connection is unusable.
  Status Append(std::string_view bytes);
  /// Handles an orderly end of the peer's stream. This completes a response
  /// that has no content length.
  Status OnEndOfStream();

  bool has_head() const;
  const HttpHead& head() const;
  /// Moves out the part of the body that was received since the last call.
  std::string TakeBody();
  /// Size of the body that the head announces; empty if it announces none or
  /// if the body is chunked.
  std::optional<std::size_t> announced_body_bytes() const;
  /// Total size of the body that was received so far.
  std::size_t received_body_bytes() const;
  /// Makes the body's buffer large enough for `bytes`, so that it is not copied
  /// as it grows.
  void ReserveBody(std::size_t bytes);
  /// True once the whole current message was read.
  bool complete() const;
  /// True if the connection stays open after this message.
  bool keep_alive() const;
  /// True if the error is that the head or the body exceeds its size limit.
  bool head_too_large() const;
  bool body_too_large() const;
  /// Sets the method of the request that the next response belongs to. A
  /// response to HEAD has no body, regardless of its head.
  void ExpectResponseTo(std::string_view method);

  /// Starts the next message and parses the bytes already buffered for it.
  Status StartNextMessage();
  /// Number of received bytes after the end of the current message.
  std::size_t unread_bytes() const;
  /// Memory that the current message's head takes once it is parsed, which can
  /// be many times its size if its fields are short.
  std::size_t head_memory_bytes() const;
  /// Number of received bytes that are not parsed yet.
  std::size_t buffered_bytes() const;
  /// True if no byte of the current message has been received.
  bool idle() const;
  /// Releases the memory of the current message and of what was received after
  /// it. The reader must not be used for further messages.
  void Discard();

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace pollenledge
