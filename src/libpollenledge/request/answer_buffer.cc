#include "pollenledge/request/answer_buffer.h"

namespace pollenledge {

void AnswerBuffer::Start(int http_status, const std::string& content_type) {
  const std::lock_guard lock(mutex_);
  if (started_) return;
  started_ = true;
  http_status_ = http_status;
  content_type_ = content_type;
}

void AnswerBuffer::AppendEvent(const std::string& event, std::int64_t tokens) {
  {
    const std::lock_guard lock(mutex_);
    events_ += event;
    tokens_ += tokens;
  }
  changed_.notify_all();
}

void AnswerBuffer::AppendBytes(const std::string& bytes) {
  AppendEvent(bytes, 0);
}

void AnswerBuffer::SetWholeBody(const std::string& body) {
  const std::lock_guard lock(mutex_);
  whole_ = true;
  body_ = body;
}

void AnswerBuffer::Finish() {
  {
    const std::lock_guard lock(mutex_);
    finished_ = true;
  }
  changed_.notify_all();
}

AnswerPart AnswerBuffer::Read(std::uint64_t offset, Duration max_wait) {
  std::unique_lock lock(mutex_);
  const auto is_readable = [&] {
    return finished_ || (started_ && !whole_ && events_.size() > offset);
  };
  changed_.wait_for(lock, max_wait, is_readable);
  AnswerPart chunk;
  chunk.started = started_;
  chunk.finished = finished_;
  chunk.http_status = http_status_;
  chunk.content_type = content_type_;
  const std::string& source = whole_ ? body_ : events_;
  if (started_ && offset < source.size()) chunk.data = source.substr(offset);
  return chunk;
}

std::string AnswerBuffer::Events() const {
  const std::lock_guard lock(mutex_);
  return events_;
}

std::int64_t AnswerBuffer::tokens() const {
  const std::lock_guard lock(mutex_);
  return tokens_;
}

}  // namespace pollenledge
