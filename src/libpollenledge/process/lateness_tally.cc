#include "pollenledge/process/lateness_tally.h"

namespace pollenledge {

void LatenessTally::Take(const std::string& process,
                         const std::vector<LatenessCount>& counts,
                         TimePoint now) {
  const bool is_new = heard_.count(process) == 0;
  std::map<std::string, LatenessCount>& last_by_service = heard_[process];
  for (const LatenessCount& count : counts) {
    LatenessCount& last = last_by_service[count.service];
    const bool grew = count.streams > last.streams;
    // Streams counted before the first report of a process may be old.
    if (grew && !is_new) {
      const std::uint64_t late =
          count.late > last.late ? count.late - last.late : 0;
      steps_[count.service].push_back(
          {now, count.streams - last.streams, late});
    }
    if (grew || is_new) last = count;
  }
}

std::optional<double> LatenessTally::Share(const std::string& service,
                                           TimePoint now) {
  std::deque<Step>& steps = steps_[service];
  while (!steps.empty() && now - steps.front().at > kWindow) steps.pop_front();
  std::uint64_t streams = 0;
  std::uint64_t late = 0;
  for (const Step& step : steps) {
    streams += step.streams;
    late += step.late;
  }
  if (streams < kLeastStreams) return std::nullopt;
  return static_cast<double>(late) / static_cast<double>(streams);
}

}  // namespace pollenledge
