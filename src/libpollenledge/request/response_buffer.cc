#include "pollenledge/request/response_buffer.h"

namespace pollenledge {

void ResponseBuffer::Start(int http_status, const std::string& content_type) {
  const std::lock_guard lock(mutex_);
  if (started_) return;
  started_ = true;
  http_status_ = http_status;
  content_type_ = content_type;
}

void ResponseBuffer::AppendEvent(const std::string& event,
                                 std::int64_t tokens) {
  {
    const std::lock_guard lock(mutex_);
    events_ += event;
    tokens_ += tokens;
  }
  changed_.notify_all();
}

void ResponseBuffer::AppendBytes(const std::string& bytes) {
  AppendEvent(bytes, 0);
}

void ResponseBuffer::SetWholeBody(const std::string& body) {
  const std::lock_guard lock(mutex_);
  has_body_ = true;
  body_ = body;
}

void ResponseBuffer::Finish() {
  {
    const std::lock_guard lock(mutex_);
    finished_ = true;
  }
  changed_.notify_all();
}

ResponseChunk ResponseBuffer::Read(std::uint64_t offset, Duration max_wait) {
  std::unique_lock lock(mutex_);
  const auto is_readable = [&] {
    return finished_ || (started_ && !has_body_ && events_.size() > offset);
  };
  changed_.wait_for(lock, max_wait, is_readable);
  ResponseChunk chunk;
  chunk.started = started_;
  chunk.finished = finished_;
  chunk.http_status = http_status_;
  chunk.content_type = content_type_;
  const std::string& source = has_body_ ? body_ : events_;
  if (started_ && offset < source.size()) chunk.data = source.substr(offset);
  return chunk;
}

std::string ResponseBuffer::Events() const {
  const std::lock_guard lock(mutex_);
  return events_;
}

std::int64_t ResponseBuffer::tokens() const {
  const std::lock_guard lock(mutex_);
  return tokens_;
}

}  // namespace pollenledge
