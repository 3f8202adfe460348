#include "pollenledge/process/upstream_speeds.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>
#include <utility>

namespace pollenledge {
namespace {

/// Number of periods that an estimate is based on.
constexpr std::size_t kMaxPeriods = 32;
/// Time in which an observation loses two thirds of its weight.
constexpr Duration kMemory = std::chrono::seconds(30);
/// Quantile of the intervals that gives the speed. Other processes and prompts
/// that are read between two events make most intervals longer, but not all.
constexpr double kIntervalQuantile = 0.15;
/// Reported slowdown from which on a period counts for less, and by how much.
constexpr double kNoisySlowdown = 1.3;
constexpr double kNoisyShare = 0.3;
/// A slowdown of a machine that was reported this long ago may have ended.
constexpr Duration kNoiseTtl = std::chrono::milliseconds(400);
/// Number of events whose mean interval is one observation: their times are not
/// exact, since a node handles several connections at once.
constexpr int kWindowEvents = 2;
/// Shares of the difference by which a shorter and a longer interval change the
/// low interval of a period. Prompts that are read between two events make most
/// intervals longer, and by different times.
constexpr double kStepDown = 0.7;
constexpr double kStepUp = 0.05;
/// Time for which a reported number of running requests is used: about the time
/// in which they are replaced by others.
constexpr Duration kRunningTtl = std::chrono::seconds(3);
/// Observations that are larger than this many times what was predicted count
/// as that: a hang must not become the model of the service.
constexpr double kMaxSurprise = 4;
/// Weight of observations from which on a model limits surprises, and from
/// which on it predicts.
constexpr double kMinModelWeight = 5;
constexpr double kMinSpeed = 0.05;
constexpr double kMaxSpeed = 20;
/// Scale of a feature of the model of first events.
constexpr double kTokensScale = 1000;
/// Least weight of the observations that an estimate is based on.
constexpr double kMinWeight = 0.5;
/// Exponent that is assumed before anything is known, and its weight relative
/// to that of the observations: while the load of each upstream hardly changes,
/// these say little.
constexpr double kExponentPrior = 0.6;
constexpr double kExponentPriorWeight = 0.1;
/// The exponents that are tried: up to the largest, in so many steps.
constexpr double kMaxExponent = 1.2;
constexpr int kExponentSteps = 12;
constexpr Duration kExponentInterval = std::chrono::seconds(2);

/// Ratio of the speeds that is confirmed within `kConfirmTime`. Cold prompt
/// caches let a smaller one appear among equal upstreams for some 8 s (measured
/// in the virtual fleet of `UnevenUpstreams`).
constexpr double kClearlyUnevenRatio = 1.9;
constexpr double kMaxReported = 65535;

std::int64_t PeriodAt(TimePoint at) {
  return at.time_since_epoch() / UpstreamSpeeds::kPeriod;
}

double DecayOver(Duration age) {
  return std::exp(-std::max(0.0, ToSeconds(age)) / ToSeconds(kMemory));
}

std::uint16_t ToReported(double value) {
  return static_cast<std::uint16_t>(
      std::lround(std::clamp(value, 0.0, kMaxReported)));
}

/// Intervals grow with a power of exp(this): hardly while few of the slots are
/// taken, then about in proportion.
double LoadFeature(double running, int slots) {
  constexpr double kLowLoad = 0.25;
  return std::log1p(std::max(0.0, running) / (kLowLoad * std::max(1, slots)));
}

/// Returns the element at a quantile of `values`, which it reorders.
double QuantileOf(std::vector<double>* values, double quantile) {
  const auto at =
      values->begin() +
      std::lround(quantile * static_cast<double>(values->size() - 1));
  std::nth_element(values->begin(), at, values->end());
  return *at;
}

/// Limits `y` to what is plausible given what `model` predicts.
template <std::size_t N>
double LimitSurprise(const DecayedRegression<N>& model,
                     const typename DecayedRegression<N>::Features& x,
                     double y) {
  if (model.weight() < kMinModelWeight) return y;
  return std::min(y, kMaxSurprise * model.Predict(x));
}

}  // namespace

UpstreamKey KeyOf(const UpstreamId& upstream) {
  return XXH64(upstream.name.data(), upstream.name.size(),
               upstream.incarnation);
}

void UpstreamSpeeds::SetUpstreams(
    const std::vector<ForwardUpstreamInfo>& list) {
  for (auto& [name, service] : services_) service.upstreams.clear();
  keys_.clear();
  for (const ForwardUpstreamInfo& info : list) {
    const UpstreamKey key = KeyOf(info.id);
    Service& service = services_[info.service];
    service.upstreams.push_back(key);
    Upstream& upstream = upstreams_[key];
    upstream.service = &service;
    upstream.slots = info.slots;
    keys_.push_back(key);
  }
  std::sort(keys_.begin(), keys_.end());
  std::erase_if(upstreams_, [this](const auto& entry) {
    return !std::binary_search(keys_.begin(), keys_.end(), entry.first);
  });
}

UpstreamSpeeds::Upstream* UpstreamSpeeds::Find(UpstreamKey key) {
  const auto found = upstreams_.find(key);
  return found == upstreams_.end() ? nullptr : &found->second;
}

const UpstreamSpeeds::Upstream* UpstreamSpeeds::Find(
    const UpstreamId& id) const {
  const auto found = upstreams_.find(KeyOf(id));
  return found == upstreams_.end() ? nullptr : &found->second;
}

// Observations.

void UpstreamSpeeds::OnLoad(const UpstreamId& id, const ReportedLoad& load,
                            TimePoint now) {
  Upstream* upstream = Find(KeyOf(id));
  if (upstream == nullptr) return;
  constexpr double kUsualPercent = 100;
  upstream->noise = std::max(0.1, load.service_time_percent / kUsualPercent);
  upstream->noise_at = now;
  upstream->running = load.running;
}

void UpstreamSpeeds::OnFirstEvent(const UpstreamId& id, double prompt_tokens,
                                  double running, Duration taken,
                                  TimePoint now) {
  Upstream* upstream = Find(KeyOf(id));
  if (upstream == nullptr || taken <= Duration::zero()) return;
  const bool is_noisy = now - upstream->noise_at < kNoiseTtl;
  const double noise = is_noisy ? upstream->noise : 1;
  if (now - upstream->noise_at < kRunningTtl) running = upstream->running;
  const DecayedRegression<2>::Features x{prompt_tokens / kTokensScale,
                                         LoadFeature(running, upstream->slots)};
  DecayedRegression<2>& model = upstream->service->first_event;
  const double usual_s = ToSeconds(taken) * upstream->speed / noise;
  model.Add(x, LimitSurprise(model, x, usual_s), 1);
}

void UpstreamSpeeds::OnEvents(const UpstreamId& id, EventWindow* window,
                              int events, double running, TimePoint now) {
  if (window->began == TimePoint()) {
    *window = {now, 0};
    return;
  }
  window->events += events;
  if (window->events < kWindowEvents) return;
  const EventWindow complete = std::exchange(*window, {now, 0});
  Upstream* upstream = Find(KeyOf(id));
  const double taken_s = ToSeconds(now - complete.began);
  if (upstream == nullptr || taken_s <= 0) return;
  const bool is_noisy =
      now - upstream->noise_at < kNoiseTtl && upstream->noise >= kNoisySlowdown;
  if (now - upstream->noise_at < kRunningTtl) running = upstream->running;
  const double interval_s = taken_s / complete.events;
  Period added;
  added.index = PeriodAt(now);
  added.low_s = interval_s;
  added.weight = is_noisy ? kNoisyShare : 1;
  added.running = running;
  added.mean_s = interval_s;
  AddToPeriod(upstream, added);
  Combine(&upstream->unreported, added);
  upstream->observed_at = now;
}

void UpstreamSpeeds::Combine(Period* period, const Period& added) {
  if (period->weight <= 0) {
    *period = added;
    return;
  }
  const double total = period->weight + added.weight;
  const double share = added.weight / total;
  period->low_s += (added.low_s < period->low_s ? kStepDown : kStepUp) *
                   (added.low_s - period->low_s);
  period->running += share * (added.running - period->running);
  if (added.mean_s > 0)
    period->mean_s += share * (added.mean_s - period->mean_s);
  period->weight = total;
}

void UpstreamSpeeds::AddToPeriod(Upstream* upstream, const Period& added) {
  std::vector<Period>& periods = upstream->periods;
  auto at = periods.end();
  while (at != periods.begin() && std::prev(at)->index > added.index) --at;
  if (at != periods.begin() && std::prev(at)->index == added.index) {
    Combine(&*std::prev(at), added);
    return;
  }
  periods.insert(at, added);
  if (periods.size() > kMaxPeriods) periods.erase(periods.begin());
}

// Exchange with other nodes.

void UpstreamSpeeds::Merge(const std::vector<SpeedReport>& reports,
                           TimePoint now) {
  for (const SpeedReport& report : reports) {
    Upstream* upstream = Find(report.upstream);
    const bool is_valid = std::isfinite(report.value) && report.value > 0 &&
                          report.weight > 0 && report.age >= Duration::zero();
    if (upstream == nullptr || !is_valid) continue;
    if (report.kind == SpeedReportKind::kIntervals) {
      AddToPeriod(upstream, {PeriodAt(now - report.age), report.value, 0,
                             static_cast<double>(report.running),
                             static_cast<double>(report.weight)});
    } else if (report.kind == SpeedReportKind::kSpeed) {
      if (now - report.age < upstream->published_at) continue;
      upstream->published_at = now - report.age;
      upstream->published_weight = report.weight;
      upstream->published_speed =
          std::clamp<double>(report.value, kMinSpeed, kMaxSpeed);
    }
  }
}

std::vector<SpeedReport> UpstreamSpeeds::TakeIntervals(std::size_t count,
                                                       TimePoint now) {
  std::vector<std::pair<TimePoint, UpstreamKey>> pending;
  for (const auto& [key, upstream] : upstreams_) {
    if (upstream.unreported.weight > 0)
      pending.emplace_back(upstream.observed_at, key);
  }
  // The newest come first: the others go with the next report.
  std::sort(pending.rbegin(), pending.rend());
  if (pending.size() > count) pending.resize(count);
  std::vector<SpeedReport> reports;
  for (const auto& [observed_at, key] : pending) {
    Upstream& upstream = upstreams_.at(key);
    const Period sent = std::exchange(upstream.unreported, {});
    reports.push_back({key, SpeedReportKind::kIntervals,
                       static_cast<float>(sent.low_s), ToReported(sent.running),
                       std::max<std::uint16_t>(1, ToReported(sent.weight)),
                       now - observed_at});
  }
  return reports;
}

std::vector<SpeedReport> UpstreamSpeeds::NextSpeeds(std::size_t count,
                                                    UpstreamKey* cursor,
                                                    TimePoint now) const {
  std::vector<SpeedReport> reports;
  auto next = std::upper_bound(keys_.begin(), keys_.end(), *cursor);
  for (std::size_t seen = 0; seen < keys_.size() && reports.size() < count;
       ++seen) {
    if (next == keys_.end()) next = keys_.begin();
    *cursor = *next++;
    const Upstream& upstream = upstreams_.at(*cursor);
    if (upstream.weight < 1 || upstream.periods.empty()) continue;
    const TimePoint observed_at(kPeriod * upstream.periods.back().index);
    reports.push_back({*cursor, SpeedReportKind::kSpeed,
                       static_cast<float>(upstream.speed), 0,
                       ToReported(upstream.weight),
                       std::max<Duration>(Duration(0), now - observed_at)});
  }
  return reports;
}

// Estimates.

void UpstreamSpeeds::ListSamples(Upstream* upstream, TimePoint now) {
  upstream->samples.clear();
  upstream->weight = 0;
  for (const Period& period : upstream->periods) {
    const double weight = std::min(1.0, period.weight) *
                          DecayOver(now - TimePoint(kPeriod * period.index));
    upstream->samples.push_back({LoadFeature(period.running, upstream->slots),
                                 std::log(period.low_s), period.mean_s,
                                 weight});
    upstream->weight += weight;
  }
}

double UpstreamSpeeds::Residual(const Upstream& upstream, double exponent) {
  const double level = UnloadedInterval(upstream, exponent);
  double loss = 0;
  for (const Sample& sample : upstream.samples) {
    const double over = sample.interval - exponent * sample.load - level;
    loss += sample.weight * (over > 0 ? kIntervalQuantile * over
                                      : (kIntervalQuantile - 1) * over);
  }
  return loss;
}

double UpstreamSpeeds::LoadExponent(const Service& service) const {
  // Only how the intervals of each single upstream change with its load counts:
  // slow upstreams have more running requests, because they take longer.
  double best = kExponentPrior;
  double least = std::numeric_limits<double>::max();
  double total = 0;
  for (const UpstreamKey key : service.upstreams)
    total += upstreams_.at(key).weight;
  for (int step = 0; step <= kExponentSteps; ++step) {
    const double exponent = kMaxExponent * step / kExponentSteps;
    double loss =
        kExponentPriorWeight * total * std::abs(exponent - kExponentPrior);
    for (const UpstreamKey key : service.upstreams)
      loss += Residual(upstreams_.at(key), exponent);
    if (loss >= least) continue;
    least = loss;
    best = exponent;
  }
  return best;
}

double UpstreamSpeeds::UnloadedInterval(const Sample* first, const Sample* last,
                                        double exponent) {
  std::array<std::pair<double, double>, kMaxPeriods> unloaded;
  std::size_t count = 0;
  double total = 0;
  for (const Sample* sample = first; sample != last; ++sample) {
    unloaded[count++] = {sample->interval - exponent * sample->load,
                         sample->weight};
    total += sample->weight;
  }
  std::sort(unloaded.begin(),
            unloaded.begin() + static_cast<std::ptrdiff_t>(count));
  double passed = 0;
  for (std::size_t i = 0; i < count; ++i) {
    passed += unloaded[i].second;
    if (passed >= kIntervalQuantile * total) return unloaded[i].first;
  }
  return 0;
}

double UpstreamSpeeds::UnloadedInterval(const Upstream& upstream,
                                        double exponent) {
  const Sample* const first = upstream.samples.data();
  return UnloadedInterval(first, first + upstream.samples.size(), exponent);
}

double UpstreamSpeeds::Reliability(const Service& service) const {
  double error = 0;
  double spread = 0;
  double mean = 0;
  int count = 0;
  for (const UpstreamKey key : service.upstreams) {
    const Upstream& upstream = upstreams_.at(key);
    if (upstream.samples.size() < kMinPeriods) continue;
    const Sample* const first = upstream.samples.data();
    const Sample* const last = first + upstream.samples.size();
    const Sample* const middle = first + upstream.samples.size() / 2;
    const double difference =
        UnloadedInterval(first, middle, service.exponent) -
        UnloadedInterval(middle, last, service.exponent);
    // Half of the data have twice the variance, and a difference of two of them
    // four times that of the estimate.
    error += difference * difference / 4;
    ++count;
    const double deviation = upstream.unloaded_interval - mean;
    mean += deviation / count;
    spread += deviation * (upstream.unloaded_interval - mean);
  }
  if (count < 2 || spread <= 0) return 1;
  return std::clamp(1 - error / spread, 0.0, 1.0);
}

void UpstreamSpeeds::Refresh(TimePoint now) {
  for (auto& [name, service] : services_) RefreshService(&service, now);
}

void UpstreamSpeeds::RefreshService(Service* service, TimePoint now) {
  for (const UpstreamKey key : service->upstreams)
    ListSamples(&upstreams_.at(key), now);
  if (now - service->exponent_at >= kExponentInterval) {
    service->exponent_at = now;
    service->exponent = LoadExponent(*service);
  }
  std::vector<double> intervals;
  for (const UpstreamKey key : service->upstreams) {
    Upstream& upstream = upstreams_.at(key);
    upstream.unloaded_interval = UnloadedInterval(upstream, service->exponent);
    if (upstream.weight >= 1) intervals.push_back(upstream.unloaded_interval);
  }
  const double median = intervals.empty() ? 0 : QuantileOf(&intervals, 0.5);
  const double reliability = Reliability(*service);
  std::vector<double> speeds;
  for (const UpstreamKey key : service->upstreams) {
    Upstream& upstream = upstreams_.at(key);
    const double published =
        upstream.published_weight * DecayOver(now - upstream.published_at);
    const double total = upstream.weight + published;
    const double logarithm =
        reliability * upstream.weight * (median - upstream.unloaded_interval) +
        published * std::log(upstream.published_speed);
    upstream.speed =
        total > kMinWeight
            ? std::clamp(std::exp(logarithm / total), kMinSpeed, kMaxSpeed)
            : 1;
    upstream.weight = total;
    if (total >= kMinPeriods) speeds.push_back(upstream.speed);
  }
  constexpr std::size_t kMinKnown = 2;
  const bool is_enough = speeds.size() >= kMinKnown &&
                         2 * speeds.size() >= service->upstreams.size();
  service->ratio = 0;
  if (is_enough) {
    constexpr double kHigh = 0.9;
    service->ratio =
        QuantileOf(&speeds, kHigh) / QuantileOf(&speeds, 1 - kHigh);
  }
  LearnInterval(service);
  UpdateMode(service, now);
}

void UpstreamSpeeds::LearnInterval(Service* service) {
  double total_s = 0;
  double weight = 0;
  for (const UpstreamKey key : service->upstreams) {
    const Upstream& upstream = upstreams_.at(key);
    for (const Sample& sample : upstream.samples) {
      if (sample.mean_s <= 0) continue;
      total_s += sample.weight * upstream.speed * sample.mean_s *
                 std::exp(-service->exponent * sample.load);
      weight += sample.weight;
    }
  }
  service->interval_weight = weight;
  if (weight > 0) service->interval_s = total_s / weight;
}

void UpstreamSpeeds::UpdateMode(Service* service, TimePoint now) {
  if (service->ratio < kUnevenRatio) {
    service->uneven_since = TimePoint::max();
  } else {
    service->uneven_since = std::min(service->uneven_since, now);
    const Duration needed =
        service->ratio >= kClearlyUnevenRatio ? kConfirmTime : kLongConfirmTime;
    if (now - service->uneven_since >= needed) service->is_uneven = true;
  }
  if (service->ratio >= kEvenRatio) service->last_uneven_at = now;
  if (now - service->last_uneven_at >= kEvenTime) service->is_uneven = false;
}

double UpstreamSpeeds::SpeedOf(const UpstreamId& id) const {
  const Upstream* upstream = Find(id);
  return upstream == nullptr ? 1 : upstream->speed;
}

bool UpstreamSpeeds::IsKnown(const UpstreamId& id) const {
  const Upstream* upstream = Find(id);
  return upstream != nullptr && upstream->weight >= kMinPeriods;
}

bool UpstreamSpeeds::IsUneven(const std::string& service) const {
  const auto found = services_.find(service);
  return found != services_.end() && found->second.is_uneven;
}

double UpstreamSpeeds::SpeedRatio(const std::string& service) const {
  const auto found = services_.find(service);
  return found == services_.end() ? 0 : found->second.ratio;
}

// Predictions.

bool UpstreamSpeeds::CanPredict(const std::string& service) const {
  const auto found = services_.find(service);
  return found != services_.end() &&
         found->second.interval_weight >= kMinModelWeight &&
         found->second.first_event.weight() >= kMinModelWeight;
}

Duration UpstreamSpeeds::PredictFirstEvent(const UpstreamId& id,
                                           double tokens_to_read,
                                           const UpstreamWork& work) const {
  const Upstream* upstream = Find(id);
  if (upstream == nullptr) return Duration(0);
  const double usual_s = upstream->service->first_event.Predict(
      {(tokens_to_read + work.waiting_prompt_tokens) / kTokensScale,
       LoadFeature(work.running, upstream->slots)});
  return FromSeconds(usual_s / upstream->speed * work.slowdown);
}

Duration UpstreamSpeeds::PredictInterval(const UpstreamId& id,
                                         const UpstreamWork& work) const {
  const Upstream* upstream = Find(id);
  if (upstream == nullptr) return Duration(0);
  const Service& service = *upstream->service;
  const double usual_s =
      service.interval_s *
      std::exp(service.exponent * LoadFeature(work.running, upstream->slots));
  return FromSeconds(usual_s / upstream->speed * work.slowdown);
}

Duration UpstreamSpeeds::PredictEnd(const UpstreamId& id, double tokens_to_read,
                                    double response_events,
                                    const UpstreamWork& work) const {
  // A slowdown of the machine lasts for a part of a response only, so that the
  // usual one, which the model contains, holds for most of its events.
  UpstreamWork later = work;
  later.slowdown = 1;
  return PredictFirstEvent(id, tokens_to_read, work) +
         FromSeconds(std::max(0.0, response_events - 1) *
                     ToSeconds(PredictInterval(id, later)));
}

}  // namespace pollenledge
