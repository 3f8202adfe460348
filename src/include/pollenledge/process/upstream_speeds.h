#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "pollenledge/process/decayed_regression.h"
#include "pollenledge/process/speed_report.h"
#include "pollenledge/request/forward_request.h"
#include "pollenledge/time.h"

namespace pollenledge {

/// The work at an upstream that a prediction depends on.
struct UpstreamWork {
  double running = 0;                ///< Requests that run there.
  double waiting_prompt_tokens = 0;  ///< That are read before the request's.
  /// How much longer work takes now than usually; 1 is the usual time.
  double slowdown = 1;
};

/// The latest events of one response.
struct EventWindow {
  TimePoint began;
  int events = 0;
};

/// Learns the relative speeds of the upstreams of each service and how long
/// work takes at its median upstream.
///
/// A speed is estimated from the intervals between stream events. They are
/// collected in periods of `kPeriod`. The estimate is a low quantile of the
/// periods' low intervals, less what the requests that run there add. Other
/// processes only ever slow an upstream down, and for a short time, so the
/// quantile ignores them.
///
/// Nodes exchange the intervals that they observed. A node that hears from all
/// others (a collector) publishes its estimates, which the others combine with
/// their own observations.
///
/// Not thread-safe. Memory grows with the number of upstreams; the state of an
/// incarnation that is not listed any more is removed.
class UpstreamSpeeds {
 public:
  static constexpr Duration kPeriod = std::chrono::milliseconds(400);
  /// Interval of `Refresh`.
  static constexpr Duration kRefreshInterval = std::chrono::milliseconds(250);
  /// Number of periods from which on a speed counts as known.
  static constexpr double kMinPeriods = 4;

  /// Applies a newer list of upstreams.
  void SetUpstreams(const std::vector<ForwardUpstreamInfo>& list);

  /// Records the load that an upstream reported to this node.
  void OnLoad(const UpstreamId& id, const ReportedLoad& load, TimePoint now);
  /// Records that the first event of a response was received `taken` after the
  /// request was sent, where the upstream had `prompt_tokens` to read: those
  /// of the request and those of requests before it.
  void OnFirstEvent(const UpstreamId& id, double prompt_tokens, double running,
                    Duration taken, TimePoint now);
  /// Records that `events` more events of a response were received. `window`
  /// belongs to the response; it is empty at first. `running` is used, here and
  /// above, if the upstream reports no load.
  void OnEvents(const UpstreamId& id, EventWindow* window, int events,
                double running, TimePoint now);

  /// Applies reports of intervals and speeds; ignores other ones, and those
  /// about unknown incarnations.
  void Merge(const std::vector<SpeedReport>& reports, TimePoint now);
  /// Returns at most `count` reports of the intervals that this node observed
  /// since it last reported them.
  std::vector<SpeedReport> TakeIntervals(std::size_t count, TimePoint now);
  /// Returns at most `count` estimates, those after `cursor` in the order of
  /// upstreams, and advances `cursor`, so that all take turns.
  std::vector<SpeedReport> NextSpeeds(std::size_t count, UpstreamKey* cursor,
                                      TimePoint now) const;

  /// Updates the estimates. Call it about each `kRefreshInterval`.
  void Refresh(TimePoint now);

  /// Returns the speed of an upstream; 1 is the median of its service, and is
  /// returned for an upstream about which nothing is known.
  double SpeedOf(const UpstreamId& id) const;
  bool IsKnown(const UpstreamId& id) const;
  /// Returns true while the speeds of the service's upstreams differ, as of the
  /// last `Refresh`: from when the 90th percentile has been at least
  /// `kUnevenRatio` times the 10th for `kLongConfirmTime`, or clearly more for
  /// `kConfirmTime`, until it has been below
  /// `kEvenRatio` times the 10th for `kEvenTime`.
  bool IsUneven(const std::string& service) const;
  /// Returns the 90th percentile of the known speeds relative to the 10th; 0 if
  /// too few are known.
  double SpeedRatio(const std::string& service) const;

  /// Returns true if enough responses of the service were observed to predict
  /// others.
  bool CanPredict(const std::string& service) const;
  /// Return the expected time until the first event of a request that is sent
  /// now, the interval between its events, and the time until its end; zero if
  /// `CanPredict` is false.
  Duration PredictFirstEvent(const UpstreamId& id, double tokens_to_read,
                             const UpstreamWork& work) const;
  Duration PredictInterval(const UpstreamId& id,
                           const UpstreamWork& work) const;
  Duration PredictEnd(const UpstreamId& id, double tokens_to_read,
                      double response_events, const UpstreamWork& work) const;

  static constexpr double kUnevenRatio = 1.2;
  static constexpr double kEvenRatio = 1.1;
  static constexpr Duration kConfirmTime = std::chrono::milliseconds(500);
  static constexpr Duration kLongConfirmTime = std::chrono::seconds(10);
  static constexpr Duration kEvenTime = std::chrono::seconds(30);

 private:
  /// What was observed within one period.
  struct Period {
    std::int64_t index = 0;
    double low_s = 0;    ///< A low interval between events.
    double mean_s = 0;   ///< Their mean at this node; 0 if it saw none.
    double running = 0;  ///< Mean number of requests.
    double weight = 0;   ///< Number of observations.
  };
  struct Service {
    /// Growth of the intervals with the load.
    double exponent = 0;
    TimePoint exponent_at;
    /// Mean interval at the median upstream without load, in seconds.
    double interval_s = 0;
    double interval_weight = 0;
    /// Of the median upstream, in seconds by tokens and load.
    DecayedRegression<2> first_event{200};
    std::vector<UpstreamKey> upstreams;
    double ratio = 0;
    bool is_uneven = false;
    TimePoint uneven_since = TimePoint::max();
    TimePoint last_uneven_at;
  };
  /// A period as the estimates use it.
  struct Sample {
    double load = 0;
    double interval = 0;  ///< Logarithm of seconds.
    double mean_s = 0;
    double weight = 0;  ///< Decays with age.
  };
  struct Upstream {
    Service* service = nullptr;
    int slots = 1;
    std::vector<Sample> samples;
    std::vector<Period> periods;  ///< Oldest first.
    Period unreported;
    TimePoint observed_at;
    double published_speed = 1;  ///< By a collector.
    double published_weight = 0;
    TimePoint published_at;
    double unloaded_interval = 0;  ///< Logarithm of seconds.
    double speed = 1;
    double weight = 0;   ///< In periods, with older ones counting less.
    double noise = 1;    ///< As last reported.
    double running = 0;  ///< As last reported.
    TimePoint noise_at;  ///< Time of that report.
  };

  Upstream* Find(UpstreamKey key);
  const Upstream* Find(const UpstreamId& id) const;
  static void Combine(Period* period, const Period& added);
  static void AddToPeriod(Upstream* upstream, const Period& added);
  static void ListSamples(Upstream* upstream, TimePoint now);
  /// Returns by which power of the load the intervals grow: quantile regression
  /// (Koenker and Bassett, Econometrica 1978) with a level for each upstream.
  double LoadExponent(const Service& service) const;
  /// Returns how badly the exponent explains the intervals of an upstream.
  static double Residual(const Upstream& upstream, double exponent);
  /// Estimates the interval of an upstream as if it had no load.
  static double UnloadedInterval(const Upstream& upstream, double exponent);
  static double UnloadedInterval(const Sample* first, const Sample* last,
                                 double exponent);
  /// Returns which part of the variance of the estimates is not due to their
  /// errors, 0 to 1: earlier and later observations agree on it. The speeds are
  /// shrunk towards 1 by it (Efron and Morris, JASA 1975).
  double Reliability(const Service& service) const;
  void LearnInterval(Service* service);
  void RefreshService(Service* service, TimePoint now);
  static void UpdateMode(Service* service, TimePoint now);

  std::map<std::string, Service> services_;
  std::unordered_map<UpstreamKey, Upstream> upstreams_;
  std::vector<UpstreamKey> keys_;  ///< In order.
};

}  // namespace pollenledge
