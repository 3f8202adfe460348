#pragma once

#include <condition_variable>
#include <cstdint>
#include <mutex>
#include <string>

#include "pollenledge/time.h"

namespace pollenledge {

/// A part of an answer, as a reader sees it.
struct AnswerPart {
  bool started = false;   ///< Status and content type are known.
  bool finished = false;  ///< Nothing comes after `data`.
  int http_status = 0;
  std::string content_type;
  std::string data;
};

/// The answer of one request, kept so that it can be resumed at an upstream
/// and fetched again by its caller.
///
/// Holds the engine's events as they came, and the body that callers see. For
/// a streamed answer they are the same bytes, kept once. Thread-safe; its lock
/// is taken under no other.
class AnswerBuffer {
 public:
  /// Sets status and content type, once.
  void Start(int http_status, const std::string& content_type);
  /// Adds one event of the engine that holds `tokens` tokens.
  void AppendEvent(const std::string& event, std::int64_t tokens);
  /// Adds bytes that callers see and that hold no token.
  void AppendBytes(const std::string& bytes);
  /// Replaces what callers see, for an answer that is not streamed.
  void SetWholeBody(const std::string& body);
  /// Marks the end of the answer.
  void Finish();

  /// What callers see from byte `offset` on. Waits for at most `wait` until
  /// there is something new.
  AnswerPart Read(std::uint64_t offset, Duration wait);

  /// Every event so far, and the tokens in them.
  std::string Events() const;
  std::int64_t tokens() const;

 private:
  mutable std::mutex mutex_;
  std::condition_variable changed_;
  bool started_ = false;
  bool finished_ = false;
  bool whole_ = false;
  int http_status_ = 0;
  std::string content_type_;
  std::string events_;
  std::string body_;
  std::int64_t tokens_ = 0;
};

}  // namespace pollenledge
