#include "pollenledge/process/late_stream_tracker.h"

namespace pollenledge {

void LateStreamTracker::Merge(const std::string& process,
                              const std::vector<LateStreamCount>& counts,
                              TimePoint now) {
  const bool is_new = last_counts_.count(process) == 0;
  std::map<std::string, LateStreamCount>& last_by_service =
      last_counts_[process];
  for (const LateStreamCount& count : counts) {
    LateStreamCount& last = last_by_service[count.service];
    const bool grew = count.streams > last.streams;
    // Streams counted before the first report of a process may be old.
    if (grew && !is_new) {
      const std::uint64_t late =
          count.late > last.late ? count.late - last.late : 0;
      increments_[count.service].push_back(
          {now, count.streams - last.streams, late});
    }
    if (grew || is_new) last = count;
  }
}

std::optional<double> LateStreamTracker::LateShare(const std::string& service,
                                                   TimePoint now) {
  std::deque<Increment>& increments = increments_[service];
  while (!increments.empty() && now - increments.front().at > kWindow)
    increments.pop_front();
  std::uint64_t streams = 0;
  std::uint64_t late = 0;
  for (const Increment& increment : increments) {
    streams += increment.streams;
    late += increment.late;
  }
  if (streams < kMinStreams) return std::nullopt;
  return static_cast<double>(late) / static_cast<double>(streams);
}

}  // namespace pollenledge
