#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "pollenledge/time.h"

namespace pollenledge {

/// Identifies one crash of one upstream. Every node that observes the crash
/// derives the same id.
using CrashId = std::uint64_t;

/// How far a request's run on an upstream has come, in this order. A run that
/// has come further than another one did until its crash shows that the request
/// does not crash upstreams in that phase.
enum class RunPhase : std::uint8_t {
  kStarting,   ///< Sent, and not yet writing for `kSoundWritingTime`.
  kWriting,    ///< The upstream has been writing the response that long.
  kCompleted,  ///< The upstream has written the whole response.
};

/// Returns the phase with the number `value`, and `kStarting` for any other.
RunPhase ToRunPhase(std::uint64_t value);

/// An upstream that has been writing a response for this long has got over the
/// start of the request, in which most crashes occur.
constexpr Duration kSoundWritingTime = std::chrono::milliseconds(250);

/// A crash of an upstream that was running a request.
struct RecordedCrash {
  TimePoint at;
  /// When the request was sent to the upstream.
  TimePoint sent_at;
  /// Another request on the upstream may have caused the crash as well.
  bool shared = false;
  bool observed_locally = false;
  std::string domain;  ///< Empty unless observed locally.
  /// Of the request at the crash. If several requests with the suspect ran, the
  /// earliest of their phases.
  RunPhase phase = RunPhase::kStarting;

  friend bool operator==(const RecordedCrash&, const RecordedCrash&) = default;
};

/// The crashes recorded for one suspect.
///
/// Crashes count only in sequence: the request of each one must have been sent
/// after the previous one, and some time must have passed between the two.
/// Upstreams that are lost together thus count once, however many of them ran
/// the suspect, also if its requests were sent on from one to the next.
/// Not thread-safe.
class CrashRecord {
 public:
  /// Crashes closer together than `min_interval` count once.
  explicit CrashRecord(Duration min_interval = Duration::zero())
      : min_interval_(min_interval) {}

  /// Maximum number of crashes kept.
  static constexpr std::size_t kMaxCrashes = 16;

  /// Adds a crash, or merges what another node reported about a known one.
  /// Returns true if the record changed.
  bool Add(CrashId id, const RecordedCrash& crash);
  /// Removes the crash; does nothing if it is not recorded.
  void Remove(CrashId id);
  /// Removes the crashes that happened at `time` or earlier in a phase before
  /// `reached`.
  void RemoveUpTo(TimePoint time, RunPhase reached);

  /// Returns the length of the longest sequence of crashes of which each
  /// request was sent after the previous crash.
  std::size_t SequentialCount() const { return sequential_count_; }
  /// Returns the same without the crashes that one of `causes` contains.
  std::size_t SequentialCountWithout(
      const std::vector<const CrashRecord*>& causes) const;
  /// Returns the number of pauses of at least `pause` in this sequence, after
  /// its first `skip` crashes. A pause lasts from a crash until the next
  /// request of the sequence is sent.
  std::size_t PausesAfter(std::size_t skip, Duration pause) const;
  bool has_unshared_crash() const;
  /// Returns the latest phase of its crashes; `kStarting` if it has none.
  RunPhase LatestPhase() const;
  /// Returns true if all of its crashes happened while upstreams were writing.
  bool has_writing_crashes_only() const;
  /// Returns true if it has a crash that is not shared and that `other` does
  /// not contain.
  bool HasUnsharedCrashWithout(const CrashRecord& other) const;
  bool observed_locally() const;
  bool empty() const { return crashes_.empty(); }
  /// Returns the number of crashes that both records contain.
  std::size_t CountCommon(const CrashRecord& other) const;
  /// Time of the latest crash. The record must not be empty.
  TimePoint last_crash() const;
  const std::map<CrashId, RecordedCrash>& crashes() const { return crashes_; }

 private:
  /// Returns the ids of the longest sequence, in order of time, of the crashes
  /// that none of `causes` contains.
  std::vector<CrashId> Sequence(
      const std::vector<const CrashRecord*>& causes = {}) const;
  /// Removes one crash that does not shorten the sequence, if there is one.
  void RemoveLeastInformative();

  Duration min_interval_;
  std::map<CrashId, RecordedCrash> crashes_;
  std::size_t sequential_count_ = 0;
};

}  // namespace pollenledge
