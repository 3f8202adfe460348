#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "pollenledge/process/admission_controller.h"
#include "pollenledge/process/admission_level.h"
#include "pollenledge/request/fingerprint.h"
#include "pollenledge/request/request.h"
#include "pollenledge/time.h"

namespace pollenledge {

/// The properties of a request that decide its admission.
struct AdmissionRequest {
  std::string service;
  AdmissionClass key;
  std::string customer;  ///< Empty on public routes.
  Fingerprint fingerprint;
  std::int64_t prompt_tokens = 0;
  std::int64_t max_response_tokens = 0;  ///< 0: not stated.
  std::optional<std::int64_t> expected_response_tokens;
  Duration target{0};  ///< Time to the first event.

  friend bool operator==(const AdmissionRequest&,
                         const AdmissionRequest&) = default;
};

/// What is known of a request at its end.
struct AdmissionOutcome {
  std::optional<Duration>
      first_event;                   ///< From sending; empty: there was none.
  Duration slot_time{0};             ///< From sending to the end.
  std::int64_t response_tokens = 0;  ///< 0: not known.

  friend bool operator==(const AdmissionOutcome&,
                         const AdmissionOutcome&) = default;
};

/// Admits and refuses requests by the fleet's admission level, and counts the
/// demand that the level is computed from.
///
/// A request is admitted if its position is below the share of its class. The
/// position is a hash of its fingerprint, raised by its cost relative to the
/// mean of its class and by the excess of its customer, so that all nodes with
/// the same level decide alike. Which requests have low positions changes with
/// the version about each two seconds, so that a repeated request is not
/// refused for good.
///
/// Without a level that is newer than `kMaxLevelAge` all requests are admitted
/// here, and the node's own queues decide.
///
/// Not thread-safe. Memory grows with services, classes, customers and nodes;
/// at most `kMaxRefused` refused requests are remembered.
class FleetAdmission {
 public:
  static constexpr Duration kMaxLevelAge = std::chrono::seconds(2);
  static constexpr Duration kFollowAge = std::chrono::seconds(1);
  /// A request that comes back within this time after its refusal is preferred.
  static constexpr Duration kReturnTime = std::chrono::seconds(15);
  static constexpr std::size_t kMaxRefused = 4096;

  /// Counts the request as demand. Returns the reason for a refusal, or an
  /// empty value if the request is admitted. `has_free_slot` tells that an
  /// upstream is known to have one, so that nothing is refused.
  std::optional<NotRun> Check(const AdmissionRequest& request,
                              bool has_free_slot, TimePoint now);
  /// Records the first event of an admitted request.
  void OnFirstEvent(const AdmissionRequest& request, TimePoint now);
  /// Records the end of an admitted request that reached an upstream.
  void OnEnd(const AdmissionRequest& request, const AdmissionOutcome& outcome,
             TimePoint now);

  /// The admitted requests of one class that are in progress at this node.
  struct InProgress {
    int unanswered = 0;  ///< Without a first event.
    int running = 0;     ///< With one.
  };
  /// Sets the numbers of admitted requests by service and class.
  void SetInProgress(const std::map<std::pair<std::string, AdmissionClass>,
                                    InProgress>& counts);
  /// Returns the demand at this node, by service.
  std::vector<AdmissionDemand> Demands(TimePoint now);

  /// Follows the newer ones of `levels`.
  void Merge(const std::vector<AdmissionLevel>& levels, TimePoint now);
  void MergeDemands(const std::string& node,
                    const std::vector<AdmissionDemand>& demands, TimePoint now);
  /// Computes the level of `service` from the demands of all nodes and the
  /// number of slots of its upstreams.
  void OnLoad(const std::string& service, double slots, int known_nodes,
              const Instant& now);

  /// Returns the known levels with their ages, for peers.
  std::vector<AdmissionLevel> Levels(TimePoint now) const;
  /// Returns the level in force, with its age; empty if there is none that is
  /// recent enough.
  std::optional<AdmissionLevel> LevelOf(const std::string& service,
                                        TimePoint now) const;
  /// Returns true if a level that admits less than all is in force.
  bool IsRefusing(const std::string& service, TimePoint now) const;
  /// Returns true if another node's level of `service` was received and is at
  /// most `kFollowAge` old, so that this node need not compute one.
  bool FollowsPeer(const std::string& service, TimePoint now) const;
  /// Returns when a request of the class that arrives now gets its first event,
  /// by what the fleet knows; empty if it is not known.
  std::optional<Duration> PredictFirstEvent(const std::string& service,
                                            const AdmissionClass& key,
                                            TimePoint now) const;

 private:
  /// An event rate, as an exponentially weighted moving average.
  struct Rate {
    double sum = 0;
    TimePoint updated_at;

    void Add(double value, TimePoint now);
    double PerSecond(TimePoint now) const;
  };
  struct ClassStats {
    double target_s = 0;
    Rate offered;
    Rate refused;
    Rate answered;
    InProgress in_progress;
    std::optional<double> first_event_s;
    std::optional<double> slot_s;
    std::optional<double> prompt_tokens;
    std::optional<double> response_tokens;
    double hint_error = 0;
  };
  struct ServiceStats {
    std::map<AdmissionClass, ClassStats> classes;
    std::map<std::string, Rate> customers;  ///< Slots asked for, by customer.
  };
  struct KnownLevel {
    AdmissionLevel level;
    TimePoint computed_at;
    bool is_own = false;  ///< Computed by this node.
    bool IsFresh(TimePoint now) const {
      return now - computed_at <= kMaxLevelAge;
    }
  };

  const KnownLevel* FreshLevel(const std::string& service, TimePoint now) const;
  void CountOffered(const AdmissionRequest& request, TimePoint now);
  bool WasRefused(const Fingerprint& fingerprint, TimePoint now);
  void RememberRefused(const Fingerprint& fingerprint, TimePoint now);

  std::map<std::string, ServiceStats> services_;
  std::map<std::string, AdmissionController> controllers_;
  std::map<std::string, KnownLevel> levels_;
  std::map<Fingerprint, TimePoint> refused_;
  std::deque<std::pair<TimePoint, Fingerprint>> refused_order_;
};

/// Returns the share of `level` for the class: that of the class itself or, if
/// it is not listed, of the next less urgent one; null if there is none.
const ClassShare* FindShare(const AdmissionLevel& level,
                            const AdmissionClass& key);

/// Returns the cost of the request relative to the mean of its class; 1 if it
/// is not known.
double RelativeCost(const AdmissionRequest& request, const ClassShare& share);

/// Returns the probability, over all fingerprints, that the request is admitted
/// when its class has this share.
double AdmittedPart(double share, double relative_cost, double excess,
                    bool is_returning);

}  // namespace pollenledge
