#include "pollenledge/process/fleet_admission.h"

#include <algorithm>
#include <cmath>

namespace pollenledge {
namespace {

/// Time constant of the rates that are reported.
constexpr double kRateTimeS = 0.5;
/// Weight of the newest value in a moving average.
constexpr double kMeanWeight = 0.1;
/// Bounds of the exponent by which cost and excess lower the chance of a
/// request, and the part of its class's share that each request keeps.
constexpr double kMinExponent = 0.5;
constexpr double kMaxExponent = 4;
constexpr double kMinPart = 0.25;
/// Exponent factor of a request that comes back after a refusal.
constexpr double kReturnFactor = 0.5;
/// A version counts milliseconds; positions change each 2^11 of them.
constexpr int kEpochBits = 11;
/// Part of the clearing time after which the first refused requests come back.
constexpr double kFirstReturn = 0.25;
/// A single hint is trusted to be wrong by at most this factor.
constexpr double kMaxHintError = 8;
constexpr std::size_t kMaxReportedCustomers = 12;
constexpr double kMinReportedLoad = 0.01;
constexpr std::size_t kMaxTrackedCustomers = 1024;
constexpr double kMinReportedRate = 0.01;

/// The finalizer of SplitMix64 (Steele, Lea and Flood, OOPSLA 2014).
std::uint64_t Mix(std::uint64_t value) {
  value += 0x9e3779b97f4a7c15ULL;
  value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9ULL;
  value = (value ^ (value >> 27U)) * 0x94d049bb133111ebULL;
  return value ^ (value >> 31U);
}

/// Maps the fingerprint to [0, 1), differently for each `salt`.
double UnitHash(const Fingerprint& fingerprint, std::uint64_t salt) {
  constexpr int kMantissaBits = 53;
  const std::uint64_t hash =
      Mix(fingerprint.low ^ Mix(fingerprint.high ^ Mix(salt)));
  return std::ldexp(static_cast<double>(hash >> (64 - kMantissaBits)),
                    -kMantissaBits);
}

void UpdateMean(double value, std::optional<double>* mean) {
  *mean = mean->has_value() ? **mean + kMeanWeight * (value - **mean) : value;
}

/// Follows about the sixth percentile of the values.
void UpdateLowQuantile(double value, std::optional<double>* quantile) {
  constexpr double kFallWeight = 0.3;
  constexpr double kRiseWeight = 0.02;
  const double old = quantile->value_or(value);
  *quantile = old + (value < old ? kFallWeight : kRiseWeight) * (value - old);
}

bool IsSound(const AdmissionLevel& level) {
  bool sound = std::isfinite(level.level) && std::isfinite(level.pressure);
  for (const ClassShare& share : level.classes) {
    for (const double value :
         {share.share, share.predicted_first_event_s, share.prompt_tokens,
          share.response_tokens, share.read_share, share.hint_factor}) {
      sound = sound && std::isfinite(value) && value >= 0;
    }
  }
  for (const HotCustomer& hot : level.hot_customers)
    sound = sound && std::isfinite(hot.excess);
  return sound;
}

double ExcessOf(const AdmissionLevel& level, const std::string& customer) {
  for (const HotCustomer& hot : level.hot_customers) {
    if (hot.customer == customer) return hot.excess;
  }
  return 1;
}

/// Returns the response tokens that the request is expected to need; 0 if
/// nothing is known.
double PredictResponse(const AdmissionRequest& request, double usual,
                       double hint_factor) {
  const double predicted =
      request.expected_response_tokens.has_value()
          ? static_cast<double>(*request.expected_response_tokens) * hint_factor
          : usual;
  if (request.max_response_tokens <= 0) return predicted;
  return std::min(predicted, static_cast<double>(request.max_response_tokens));
}

}  // namespace

void FleetAdmission::Rate::Add(double value, TimePoint now) {
  sum = PerSecond(now) * kRateTimeS + value;
  updated_at = now;
}

double FleetAdmission::Rate::PerSecond(TimePoint now) const {
  const double age = std::max(0.0, ToSeconds(now - updated_at));
  return sum * std::exp(-age / kRateTimeS) / kRateTimeS;
}

const ClassShare* FindShare(const AdmissionLevel& level,
                            const AdmissionClass& key) {
  for (const ClassShare& share : level.classes) {
    if (share.key == key) return &share;
  }
  // An unknown class of a known priority is served like the others of it.
  for (const ClassShare& share : level.classes) {
    if (share.key.priority >= key.priority) return &share;
  }
  return nullptr;
}

double RelativeCost(const AdmissionRequest& request, const ClassShare& share) {
  if (share.prompt_tokens <= 0) return 1;
  const double prompt =
      static_cast<double>(request.prompt_tokens) / share.prompt_tokens;
  if (share.response_tokens <= 0) return prompt;
  const double response =
      PredictResponse(request, share.response_tokens, share.hint_factor) /
      share.response_tokens;
  return share.read_share * prompt + (1 - share.read_share) * response;
}

double AdmittedPart(double share, double relative_cost, double excess,
                    bool is_returning) {
  if (share >= 1) return 1;
  const double cost = std::clamp(relative_cost, kMinExponent, 2.0);
  const double exponent =
      std::clamp(cost * excess * (is_returning ? kReturnFactor : 1),
                 kMinExponent / 2, kMaxExponent);
  return std::max(kMinPart * share, std::pow(std::max(0.0, share), exponent));
}

std::optional<NotRun> FleetAdmission::Check(const AdmissionRequest& request,
                                            bool has_free_slot, TimePoint now) {
  CountOffered(request, now);
  const KnownLevel* known = FreshLevel(request.service, now);
  if (known == nullptr || has_free_slot) return std::nullopt;
  const AdmissionLevel& level = known->level;
  const ClassShare* share = FindShare(level, request.key);
  if (share == nullptr || share->share >= 1) return std::nullopt;
  const std::uint64_t epoch = level.version >> kEpochBits;
  const double position = UnitHash(request.fingerprint, epoch);
  const double limit = AdmittedPart(share->share, RelativeCost(request, *share),
                                    ExcessOf(level, request.customer),
                                    WasRefused(request.fingerprint, now));
  if (position < limit) return std::nullopt;
  services_[request.service].classes[request.key].refused.Add(1, now);
  RememberRefused(request.fingerprint, now);
  const double spread = UnitHash(request.fingerprint, ~epoch);
  const Duration retry_after =
      FromSeconds(ToSeconds(level.clearing) * (kFirstReturn + spread));
  return NotRun{503, "over-admission-level",
                "the service has no capacity for the request now", retry_after};
}

void FleetAdmission::CountOffered(const AdmissionRequest& request,
                                  TimePoint now) {
  ServiceStats& service = services_[request.service];
  ClassStats& stats = service.classes[request.key];
  stats.target_s = ToSeconds(request.target);
  stats.offered.Add(1, now);
  UpdateMean(static_cast<double>(request.prompt_tokens), &stats.prompt_tokens);
  if (request.customer.empty()) return;
  const bool has_room = service.customers.size() < kMaxTrackedCustomers ||
                        service.customers.count(request.customer) > 0;
  if (has_room)
    service.customers[request.customer].Add(stats.slot_s.value_or(1), now);
}

void FleetAdmission::OnFirstEvent(const AdmissionRequest& request,
                                  TimePoint now) {
  services_[request.service].classes[request.key].answered.Add(1, now);
}

void FleetAdmission::OnEnd(const AdmissionRequest& request,
                           const AdmissionOutcome& outcome, TimePoint now) {
  ClassStats& stats = services_[request.service].classes[request.key];
  // A response without events is answered at its end.
  if (!outcome.first_event.has_value()) stats.answered.Add(1, now);
  const double first_s =
      ToSeconds(outcome.first_event.value_or(outcome.slot_time));
  UpdateLowQuantile(first_s, &stats.first_event_s);
  // Time in which the request waited at the upstream is not slot time.
  const double written_s = ToSeconds(outcome.slot_time) - first_s;
  UpdateMean(written_s + std::min(first_s, *stats.first_event_s),
             &stats.slot_s);
  if (outcome.response_tokens <= 0) return;
  const auto tokens = static_cast<double>(outcome.response_tokens);
  UpdateMean(tokens, &stats.response_tokens);
  if (request.expected_response_tokens.value_or(0) <= 0) return;
  const double error = std::clamp(
      tokens / static_cast<double>(*request.expected_response_tokens),
      1 / kMaxHintError, kMaxHintError);
  stats.hint_error += kMeanWeight * (std::log(error) - stats.hint_error);
}

void FleetAdmission::SetInProgress(
    const std::map<std::pair<std::string, AdmissionClass>, InProgress>&
        counts) {
  for (auto& [name, service] : services_) {
    for (auto& [key, stats] : service.classes) {
      const auto found = counts.find({name, key});
      stats.in_progress = found == counts.end() ? InProgress() : found->second;
    }
  }
}

std::vector<AdmissionDemand> FleetAdmission::Demands(TimePoint now) {
  std::vector<AdmissionDemand> demands;
  for (auto& [name, service] : services_) {
    AdmissionDemand demand;
    demand.service = name;
    for (const auto& [key, stats] : service.classes) {
      const double offered = stats.offered.PerSecond(now);
      const auto [unanswered, running] = stats.in_progress;
      if (offered < kMinReportedRate && unanswered + running == 0) continue;
      demand.classes.push_back(
          {key, stats.target_s, offered, stats.refused.PerSecond(now),
           stats.answered.PerSecond(now), static_cast<double>(unanswered),
           static_cast<double>(running), stats.first_event_s.value_or(0),
           stats.slot_s.value_or(0), stats.prompt_tokens.value_or(0),
           stats.response_tokens.value_or(0), stats.hint_error});
    }
    std::erase_if(service.customers, [now](const auto& entry) {
      return entry.second.PerSecond(now) < kMinReportedLoad;
    });
    for (const auto& [customer, load] : service.customers)
      demand.customers.push_back({customer, load.PerSecond(now)});
    std::sort(demand.customers.begin(), demand.customers.end(),
              [](const CustomerLoad& a, const CustomerLoad& b) {
                return std::pair(-a.load, a.customer) <
                       std::pair(-b.load, b.customer);
              });
    if (demand.customers.size() > kMaxReportedCustomers)
      demand.customers.resize(kMaxReportedCustomers);
    demands.push_back(std::move(demand));
  }
  return demands;
}

void FleetAdmission::Merge(const std::vector<AdmissionLevel>& levels,
                           TimePoint now) {
  for (const AdmissionLevel& level : levels) {
    if (!IsSound(level)) continue;
    KnownLevel& known = levels_[level.service];
    // A level that has expired is replaced by any: a version from a clock that
    // was ahead must not stand for good.
    if (level.version <= known.level.version && known.IsFresh(now)) continue;
    known = {level, now - level.age, false};
  }
}

void FleetAdmission::MergeDemands(const std::string& node,
                                  const std::vector<AdmissionDemand>& demands,
                                  TimePoint now) {
  for (const AdmissionDemand& demand : demands)
    controllers_[demand.service].OnDemand(node, demand, now);
}

void FleetAdmission::OnLoad(const std::string& service, double slots,
                            int known_nodes, const Instant& now) {
  AdmissionLevel level = controllers_[service].Compute(slots, known_nodes, now);
  level.service = service;
  levels_[service] = {std::move(level), now.monotonic, true};
}

std::vector<AdmissionLevel> FleetAdmission::Levels(TimePoint now) const {
  std::vector<AdmissionLevel> levels;
  for (const auto& [service, known] : levels_) {
    if (!known.IsFresh(now)) continue;
    levels.push_back(known.level);
    levels.back().age = now - known.computed_at;
  }
  return levels;
}

const FleetAdmission::KnownLevel* FleetAdmission::FreshLevel(
    const std::string& service, TimePoint now) const {
  const auto found = levels_.find(service);
  if (found == levels_.end() || !found->second.IsFresh(now)) return nullptr;
  return &found->second;
}

std::optional<AdmissionLevel> FleetAdmission::LevelOf(
    const std::string& service, TimePoint now) const {
  const KnownLevel* known = FreshLevel(service, now);
  if (known == nullptr) return std::nullopt;
  AdmissionLevel level = known->level;
  level.age = now - known->computed_at;
  return level;
}

bool FleetAdmission::IsRefusing(const std::string& service,
                                TimePoint now) const {
  const KnownLevel* known = FreshLevel(service, now);
  return known != nullptr && known->level.level < 1;
}

bool FleetAdmission::FollowsPeer(const std::string& service,
                                 TimePoint now) const {
  const KnownLevel* known = FreshLevel(service, now);
  return known != nullptr && !known->is_own &&
         now - known->computed_at <= kFollowAge;
}

std::optional<Duration> FleetAdmission::PredictFirstEvent(
    const std::string& service, const AdmissionClass& key,
    TimePoint now) const {
  const KnownLevel* known = FreshLevel(service, now);
  if (known == nullptr) return std::nullopt;
  const ClassShare* share = FindShare(known->level, key);
  if (share == nullptr || !(share->key == key)) return std::nullopt;
  return FromSeconds(std::min(share->predicted_first_event_s, 60.0));
}

bool FleetAdmission::WasRefused(const Fingerprint& fingerprint, TimePoint now) {
  const auto found = refused_.find(fingerprint);
  return found != refused_.end() && now - found->second <= kReturnTime;
}

void FleetAdmission::RememberRefused(const Fingerprint& fingerprint,
                                     TimePoint now) {
  refused_[fingerprint] = now;
  refused_order_.emplace_back(now, fingerprint);
  while (!refused_order_.empty() &&
         (refused_order_.size() > kMaxRefused ||
          now - refused_order_.front().first > kReturnTime)) {
    const auto& [at, oldest] = refused_order_.front();
    const auto found = refused_.find(oldest);
    if (found != refused_.end() && found->second == at) refused_.erase(found);
    refused_order_.pop_front();
  }
}

}  // namespace pollenledge
