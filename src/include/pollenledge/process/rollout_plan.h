#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "pollenledge/process/rollout_evidence.h"
#include "pollenledge/request/rollout.h"
#include "pollenledge/result.h"
#include "pollenledge/time.h"

namespace pollenledge {

/// State of a roll-out.
enum class RolloutPhase : std::uint8_t {
  kObserving,  ///< The target gets less than the exposure share.
  kMoving,     ///< The target is proven and gets the rest.
  kCompleted,
  kReverted,
};

/// Returns the name of `phase` as used in logs and in the store.
const char* ToString(RolloutPhase phase);

/// What the store holds of a roll-out, from which any holder of the duties goes
/// on.
struct RolloutRecord {
  RolloutOrder order;
  /// The version that the requests went to before.
  std::string base;
  RolloutPhase phase = RolloutPhase::kObserving;
  std::uint32_t step = 1;                 ///< Grows with each change.
  double share = 0;                       ///< Of the requests, for the target.
  WallTime began_at{};                    ///< When the order was first seen.
  WallTime stepped_at{};                  ///< When `step` began.
  std::vector<RolloutEvidence> evidence;  ///< When `step` began.
  std::string reason;                     ///< Of this step, for the log.

  bool ended() const {
    return phase == RolloutPhase::kCompleted ||
           phase == RolloutPhase::kReverted;
  }

  friend bool operator==(const RolloutRecord&, const RolloutRecord&) = default;
};

/// What the holder of the duties sees besides the evidence.
struct RolloutView {
  bool is_ordered = true;    ///< The order is still in the store.
  int target_upstreams = 0;  ///< Usable ones that run the target.

  friend bool operator==(const RolloutView&, const RolloutView&) = default;
};

/// Decides the steps of one roll-out.
///
/// The target is observed at less than the exposure share for as long as the
/// time until the deadline allows, since faults may show late. If the evidence
/// supports it, the rest of the requests is moved in two steps, the running
/// requests of the other version end, and the roll-out completes shortly before
/// the deadline. A target that is proven bad is reverted at once; one with too
/// little or doubtful evidence when the time to move has passed as well.
///
/// `Next` returns the record to store; a larger share becomes effective once
/// `OnStored` confirms it, a smaller one at once. Deterministic. Not
/// thread-safe.
class RolloutPlan {
 public:
  /// Share of the exposure share with which the observation begins, and the one
  /// with which it goes on. The rest is a margin for requests that were counted
  /// by nodes which stopped.
  static constexpr double kFirstPart = 0.3;
  static constexpr double kObservingPart = 0.8;
  /// Shortest time at the first share.
  static constexpr Duration kFirstStepTime = std::chrono::seconds(1);
  /// Share of the first step that moves the rest, and its duration. It lets the
  /// upstreams of the target fill their caches.
  static constexpr double kMovingShare = 0.5;
  static constexpr Duration kMovingStepTime = std::chrono::milliseconds(700);
  /// Time before the deadline at which a roll-out completes. It covers several
  /// calls to the store.
  static constexpr Duration kCompletionMargin = std::chrono::milliseconds(1200);
  /// Part of the window that the other version's running requests have to end
  /// in, and its bounds.
  static constexpr double kEndingPart = 0.3;
  static constexpr Duration kMinEndingTime = std::chrono::milliseconds(1500);
  static constexpr Duration kMaxEndingTime = std::chrono::seconds(20);

  /// Returns the first record of an order.
  static RolloutRecord Begin(const RolloutOrder& order, std::string base,
                             double exposure_share, WallTime now);

  RolloutPlan(double exposure_share, RolloutRecord record)
      : exposure_share_(exposure_share),
        record_(std::move(record)),
        evidence_(record_.evidence) {}

  /// Replaces the counts of a process.
  void OnEvidence(const std::string& process,
                  const std::vector<RolloutEvidence>& counts) {
    evidence_.Update(process, counts);
  }
  /// Returns the next record, if it is time for a step.
  std::optional<RolloutRecord> Next(const RolloutView& view, WallTime now);
  /// The record was stored.
  void OnStored(const RolloutRecord& record);
  /// The share that nodes may use now.
  RolloutShare CurrentShare() const;

  const RolloutRecord& record() const { return record_; }
  const RolloutJudgement& judgement() const { return judgement_; }

 private:
  std::optional<RolloutRecord> Observe(const RolloutView& view, WallTime now);
  std::optional<RolloutRecord> Move(const RolloutView& view, WallTime now);
  RolloutRecord Step(RolloutPhase phase, double share, std::string reason,
                     WallTime now) const;
  RolloutRecord Revert(std::string reason, WallTime now) const;
  std::string Evidence() const;
  /// True if the evidence requires that the target gets no more requests.
  bool IsProvenBad() const;
  WallTime CompleteAt() const;
  WallTime MoveAt() const;

  double exposure_share_;
  RolloutRecord record_;
  std::optional<RolloutRecord> reverting_;  ///< Not stored yet.
  RolloutEvidenceSum evidence_;
  RolloutJudgement judgement_;
};

/// Encodes and decodes a record for the store.
std::string EncodeRolloutRecord(const RolloutRecord& record);
Result<RolloutRecord> DecodeRolloutRecord(const std::string& text);

}  // namespace pollenledge
