#include "pollenledge/connection/body_reads.h"

#include <poll.h>

#include "pollenledge/connection/socket_readiness.h"

namespace pollenledge {

BodyReads::Id BodyReads::Begin(const Poco::Net::StreamSocket& socket,
                               SteadyTime now) {
  const std::lock_guard lock(mutex_);
  reads_.emplace(++last_id_, Read{socket, now});
  return last_id_;
}

void BodyReads::OnProgress(Id id, std::size_t bytes, SteadyTime now) {
  const std::lock_guard lock(mutex_);
  Read& read = reads_.at(id);
  read.unrecorded_bytes += bytes;
  if (read.unrecorded_bytes < kProgressStepBytes) return;
  read.unrecorded_bytes = 0;
  read.progress_at = now;
}

bool BodyReads::End(Id id) {
  const std::lock_guard lock(mutex_);
  const bool is_cut = reads_.at(id).is_cut;
  reads_.erase(id);
  return !is_cut;
}

void BodyReads::CutStalled(int count, SteadyTime now) {
  const std::lock_guard lock(mutex_);
  std::multimap<SteadyTime, Read*> stalled;
  for (auto& [id, read] : reads_) {
    if (IsStalled(read, now)) stalled.emplace(read.progress_at, &read);
  }
  for (const auto& [progress_at, read] : stalled) {
    if (count-- <= 0) return;
    Cut(read);
  }
}

bool BodyReads::IsStalled(const Read& read, SteadyTime now) {
  return !read.is_cut && now - read.progress_at >= kStallBound &&
         !IsReady(read.socket.impl()->sockfd(), POLLIN);
}

void BodyReads::Cut(Read* read) {
  read->is_cut = true;
  try {
    read->socket.shutdownReceive();
  } catch (const Poco::Exception&) {
    // The caller has closed the connection meanwhile.
  }
}

}  // namespace pollenledge
