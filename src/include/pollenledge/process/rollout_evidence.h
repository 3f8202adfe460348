#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "pollenledge/request/rollout.h"

namespace pollenledge {

/// Number of bad observations among all of one kind.
struct BadCount {
  std::int64_t bad = 0;
  std::int64_t total = 0;

  friend bool operator==(const BadCount&, const BadCount&) = default;
};

/// Returns the probability of at least `target.bad` bad observations at a
/// target that is as good as the other versions, or worse by no more than the
/// tolerance: `tolerated_ratio` times their share of bad ones plus
/// `tolerated_share`.
///
/// This is the exact binomial test against the upper confidence bound of the
/// other versions' share, at `1 - kBoundLevel` (Clopper and Pearson, "The Use
/// of Confidence or Fiducial Limits Illustrated in the Case of the Binomial",
/// Biometrika 26, 1934). The uncertainty of both sides is thus included, and
/// the result is 1 if nothing is known of the other versions.
double WorseByChance(const BadCount& target, const BadCount& others,
                     double tolerated_ratio, double tolerated_share);

/// What the evidence of a roll-out says about its target.
enum class RolloutVerdict : std::uint8_t {
  kInsufficient,  ///< Too few observations on some route.
  kSupported,     ///< Enough observations, and none speaks against the target.
  kDoubtful,      ///< The target looks worse, which is not proven.
  kBad,           ///< The target is proven to be worse.
};

/// Returns the name of `verdict` as used in logs.
const char* ToString(RolloutVerdict verdict);

/// A verdict and the test that decided it.
struct RolloutJudgement {
  RolloutVerdict verdict = RolloutVerdict::kInsufficient;
  std::string subject;     ///< Route and kind of observation; for logs.
  double probability = 1;  ///< Of the deciding test, see `WorseByChance`.
  BadCount target;
  BadCount others;

  friend bool operator==(const RolloutJudgement&,
                         const RolloutJudgement&) = default;
};

/// Sums the counts of several processes. Each process reports its counts since
/// the roll-out began, so that lost or repeated reports do no harm.
///
/// Not thread-safe.
class RolloutEvidenceSum {
 public:
  RolloutEvidenceSum() = default;
  /// `stored` is the sum of an earlier holder of the duties.
  explicit RolloutEvidenceSum(std::vector<RolloutEvidence> stored)
      : stored_(std::move(stored)) {}

  /// Replaces the counts of `process`.
  void Update(const std::string& process,
              const std::vector<RolloutEvidence>& counts);
  /// Returns the sums. Of the stored and the reported sums of each row the one
  /// of more observations counts: they overlap, since most processes of the
  /// earlier holder's time still run.
  std::vector<RolloutEvidence> Total() const;

 private:
  std::vector<RolloutEvidence> stored_;
  std::map<std::string, std::vector<RolloutEvidence>> by_process_;
};

/// Compares the target with the other versions over the same period: failed
/// answers, slow first events and slow pace, by route, by route and load, and
/// of the whole service. `exposure_share` tells how many
/// observations of a route can be expected at the target.
RolloutJudgement JudgeRollout(const std::vector<RolloutEvidence>& evidence,
                              double exposure_share);

}  // namespace pollenledge
