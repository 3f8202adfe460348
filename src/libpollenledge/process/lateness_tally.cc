#include "pollenledge/process/lateness_tally.h"

namespace pollenledge {

void LatenessTally::Take(const std::string& process,
                         const std::vector<LatenessCount>& counts,
                         TimePoint now) {
  const bool is_new = heard_.count(process) == 0;
  std::map<std::string, LatenessCount>& known = heard_[process];
  for (const LatenessCount& count : counts) {
    LatenessCount& before = known[count.service];
    const bool grew = count.streams > before.streams;
    // What a process did before it was first heard of is not known to be
    // recent.
    if (grew && !is_new) {
      const std::uint64_t late =
          count.late > before.late ? count.late - before.late : 0;
      steps_[count.service].push_back(
          {now, count.streams - before.streams, late});
    }
    if (grew || is_new) before = count;
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
