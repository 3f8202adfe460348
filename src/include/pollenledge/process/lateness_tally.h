#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "pollenledge/time.h"

namespace pollenledge {

/// Streams of one service that a process began, and how many of them began
/// late; both only grow.
struct LatenessCount {
  std::string service;
  std::uint64_t streams = 0;
  std::uint64_t late = 0;

  friend bool operator==(const LatenessCount&, const LatenessCount&) = default;
};

/// What part of the recent streams of a service began late, over all nodes that
/// are heard.
///
/// One node of a large fleet begins a few streams a second: too few to see soon
/// that a service is short of upstreams, and not to take chance for it. Not
/// thread-safe. Memory grows with the processes heard.
class LatenessTally {
 public:
  /// Streams of this time count.
  static constexpr Duration kWindow = std::chrono::seconds(2);
  /// Fewer streams tell nothing.
  static constexpr std::uint64_t kLeastStreams = 20;

  /// Takes in the counts of a process, by its name and incarnation.
  void Take(const std::string& process,
            const std::vector<LatenessCount>& counts, TimePoint now);
  /// Nothing if too few streams were heard of lately.
  std::optional<double> Share(const std::string& service, TimePoint now);

 private:
  struct Step {
    TimePoint at;
    std::uint64_t streams = 0;
    std::uint64_t late = 0;
  };

  std::map<std::string, std::map<std::string, LatenessCount>> heard_;
  std::map<std::string, std::deque<Step>> steps_;  ///< By service.
};

}  // namespace pollenledge
