#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "pollenledge/time.h"

namespace pollenledge {

/// Counts of the streams of one service that a process started, and of those
/// that started late (beyond the latency target). Both counts only grow.
struct LateStreamCount {
  std::string service;
  std::uint64_t streams = 0;
  std::uint64_t late = 0;

  friend bool operator==(const LateStreamCount&,
                         const LateStreamCount&) = default;
};

/// Computes the share of the recent streams of a service that started late,
/// over all nodes whose counts are received.
///
/// One node of a large fleet starts only a few streams a second. Its own count
/// is too small to detect a shortage of upstreams soon and to tell it from
/// chance.
///
/// Not thread-safe. Memory grows with the number of processes.
class LateStreamTracker {
 public:
  /// Only streams counted within this time are considered.
  static constexpr Duration kWindow = std::chrono::seconds(2);
  /// Below this number of streams the share is not significant.
  static constexpr std::uint64_t kMinStreams = 20;

  /// Merges the counts of `process`, which names a node and its incarnation.
  void Merge(const std::string& process,
             const std::vector<LateStreamCount>& counts, TimePoint now);
  /// Returns the share of late streams, 0 to 1, or nothing if too few streams
  /// were counted recently.
  std::optional<double> LateShare(const std::string& service, TimePoint now);

 private:
  /// Growth of one process's counts between two reports.
  struct Increment {
    TimePoint at;
    std::uint64_t streams = 0;
    std::uint64_t late = 0;
  };

  /// Last counts received, by process and service.
  std::map<std::string, std::map<std::string, LateStreamCount>> last_counts_;
  std::map<std::string, std::deque<Increment>> increments_;  ///< By service.
};

}  // namespace pollenledge
