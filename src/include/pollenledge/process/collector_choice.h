#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "pollenledge/process/membership.h"
#include "pollenledge/time.h"

namespace pollenledge {

/// Which nodes of a large fleet collect and tell what all need to know, as one
/// node sees it.
///
/// All nodes prefer the same ones. One that leaves questions unanswered is
/// passed over for a while, so that its loss is felt for little longer than a
/// question takes, however slowly news of its end spreads. Deterministic. Not
/// thread-safe.
class CollectorChoice {
 public:
  /// One, and one that knows as much when it is lost.
  static constexpr std::size_t kCollectors = 2;
  /// Nodes in the order of preference that are considered at all.
  static constexpr std::size_t kCandidates = 6;
  /// Questions without an answer before a collector is passed over.
  static constexpr int kUnanswered = 3;
  static constexpr Duration kPassedOver = std::chrono::seconds(5);

  /// The collectors among `ranked`, in order. `self` is always there.
  std::vector<const MemberRecord*> Choose(
      const std::vector<const MemberRecord*>& ranked, const std::string& self,
      TimePoint now);

  void OnAsked(const std::string& name, TimePoint now);
  void OnAnswered(const std::string& name);

 private:
  struct Candidate {
    int unanswered = 0;
    TimePoint passed_over_until;
  };

  std::map<std::string, Candidate> candidates_;  ///< By name.
};

}  // namespace pollenledge
