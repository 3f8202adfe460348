#pragma once

#include <condition_variable>
#include <cstdint>
#include <mutex>
#include <string>

#include "pollenledge/time.h"

namespace pollenledge {

/// The state of a response and the bytes that one `Read` call returned.
struct ResponseChunk {
  bool started = false;   ///< Status and content type are set.
  bool finished = false;  ///< No bytes follow `data`.
  int http_status = 0;
  std::string content_type;
  std::string data;
};

/// Buffers the response of one request, so that another upstream can resume it
/// and its caller can fetch it again.
///
/// Holds the engine's events as received, and the body that the caller reads.
/// For a streamed response both are the same bytes, which are stored once.
/// Thread-safe. Never acquire its lock while holding another lock.
class ResponseBuffer {
 public:
  /// Sets status and content type. Later calls have no effect.
  void Start(int http_status, const std::string& content_type);
  /// Appends one engine event that contains `tokens` tokens.
  void AppendEvent(const std::string& event, std::int64_t tokens);
  /// Appends bytes that the caller reads and that contain no tokens.
  void AppendBytes(const std::string& bytes);
  /// Replaces the body that the caller reads, for a non-streaming response.
  void SetWholeBody(const std::string& body);
  /// Marks the response as complete.
  void Finish();

  /// Returns the body from byte `offset` on. Blocks for at most `max_wait`
  /// until there are new bytes or the response is finished.
  ResponseChunk Read(std::uint64_t offset, Duration max_wait);

  /// All engine events received so far.
  std::string Events() const;
  /// Number of tokens in `Events`.
  std::int64_t tokens() const;

 private:
  mutable std::mutex mutex_;
  std::condition_variable changed_;
  bool started_ = false;
  bool finished_ = false;
  bool has_body_ = false;
  int http_status_ = 0;
  std::string content_type_;
  std::string events_;
  std::string body_;
  std::int64_t tokens_ = 0;
};

}  // namespace pollenledge
