#include "pollenledge/process/upstream_balancer.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

namespace pollenledge {
namespace {

/// Time for which a load report is used: about the time in which the requests
/// that it counted are replaced by others.
constexpr Duration kReportTtl = std::chrono::seconds(1);
/// Load relative to the mean above which a request does not go to its preferred
/// upstream. Mirrokni et al. give 1.25 to 2 as the useful range.
constexpr double kMaxRelativeLoad = 1.5;
/// Time in which a reported slowdown loses two thirds of its weight
/// (exponential decay). Other processes share the upstream's machine, and their
/// work comes and goes.
constexpr Duration kSlowdownDecayTime = std::chrono::milliseconds(300);
constexpr double kUsualServiceTimePercent = 100;
/// Number of requests by which the load bound may be exceeded: the prompts of
/// so few requests are processed in less time than a cached prompt typically
/// saves.
constexpr double kAffinityLoadSlack = 2;
/// Shortest and longest backoff after an upstream rejected a request or could
/// not be reached.
constexpr Duration kInitialBackoff = std::chrono::milliseconds(200);
constexpr Duration kMaxBackoff = std::chrono::seconds(2);
/// Weight of the newest outcome in the error rate (exponential moving average).
constexpr double kErrorRateWeight = 0.2;
/// Time in which an error rate without new outcomes halves, so that a skipped
/// upstream is tried again.
constexpr Duration kErrorRateHalfLife = std::chrono::seconds(3);
/// An upstream is skipped when its error rate exceeds the median of its
/// service's candidates by more than this.
constexpr double kMaxErrorRateExcess = 0.25;
/// Expected completion time at the best upstream of the own failure domain,
/// relative to the usual time of the work, from which on a request without a
/// shared prompt may go to another failure domain.
constexpr double kMaxLocalCompletionTime = 1.3;
/// Share of the usual time that is added when all slots are taken: upstreams
/// slow down as they fill up.
constexpr double kFullLoadCost = 0.4;

/// Initial concurrency limit of one node at an upstream, as a share of its
/// slots: other nodes use it as well.
constexpr double kInitialLimitShare = 0.25;
/// Minimum concurrency limit: enough requests to detect that an upstream has
/// become fast again.
constexpr double kMinLimit = 2;
/// Factor by which a late response reduces the concurrency limit, at most once
/// per `kLimitDecreaseInterval`. In that time the responses to the requests
/// sent before the last decrease are received.
constexpr double kLimitDecreaseFactor = 0.8;
constexpr Duration kLimitDecreaseInterval = std::chrono::milliseconds(400);
/// Number of requests per slot of an upstream from which on new ones are queued
/// at this node. Slightly more than one, so that the upstream starts the next
/// request without waiting for a round trip.
constexpr double kMaxRequestsPerSlot = 1.1;

/// Share of a brittle upstream's slots that all nodes together use.
constexpr double kBrittleSlotShare = 0.8;

double DecayedErrorRate(const ForwardUpstream& upstream, TimePoint now) {
  const double halvings = ToSeconds(now - upstream.error_rate_updated_at) /
                          ToSeconds(kErrorRateHalfLife);
  return upstream.error_rate * std::exp2(-std::max(0.0, halvings));
}

bool IsUsable(const ForwardUpstream& upstream) {
  return upstream.listed && !upstream.info.leaving;
}

bool MatchesVersion(const ForwardUpstream& upstream,
                    const UpstreamCriteria& criteria) {
  const std::string& version = upstream.info.software_version;
  if (criteria.software_version.value_or(version) != version) return false;
  return std::find(criteria.exclude_versions.begin(),
                   criteria.exclude_versions.end(),
                   version) == criteria.exclude_versions.end();
}

/// Returns the time until a request sent now would complete, relative to the
/// usual time of the work.
double ExpectedCompletionTime(const ForwardUpstream& upstream, TimePoint now) {
  const double slots = std::max(1, upstream.info.slots);
  const double load = upstream.EstimatedLoad(now) / slots;
  const double waiting = std::max(0.0, load + 1 / slots - 1);
  return upstream.SlowdownFactor(now) *
         (1 + kFullLoadCost * std::min(1.0, load) + waiting);
}

/// Returns the last load report of `upstream`, which must have one.
UpstreamLoadReport LatestReportOf(const ForwardUpstream& upstream,
                                  TimePoint now) {
  return {upstream.info.id, *upstream.load_report, now - upstream.reported_at};
}

std::uint64_t RendezvousWeight(const std::string& name,
                               std::uint64_t affinity) {
  return XXH64(name.data(), name.size(), affinity);
}

}  // namespace

double ForwardUpstream::EstimatedLoad(TimePoint now) const {
  if (!load_report.has_value() || now - reported_at > kReportTtl)
    return in_flight;
  const int reported = load_report->running + load_report->waiting;
  return std::max(in_flight, reported + sent_since_report);
}

double ForwardUpstream::SlowdownFactor(TimePoint now) const {
  if (!load_report.has_value()) return 1;
  const double weight =
      std::exp(-ToSeconds(now - reported_at) / ToSeconds(kSlowdownDecayTime));
  return 1 +
         weight *
             (load_report->service_time_percent / kUsualServiceTimePercent - 1);
}

bool ForwardUpstream::HasCapacity(TimePoint now) const {
  return in_flight < concurrency_limit &&
         EstimatedLoad(now) < kMaxRequestsPerSlot * info.slots;
}

std::vector<std::string> UpstreamBalancer::SetList(
    const std::vector<ForwardUpstreamInfo>& list) {
  std::vector<std::string> newly_leaving;
  std::set<std::string> listed_names;
  for (const ForwardUpstreamInfo& info : list) {
    listed_names.insert(info.id.name);
    const auto [it, is_new] = upstreams_.try_emplace(info.id.name);
    ForwardUpstream& upstream = it->second;
    const bool restarted =
        !is_new && upstream.info.id.incarnation != info.id.incarnation;
    const bool was_usable = !is_new && IsUsable(upstream);
    if (restarted) {
      const int in_flight = upstream.in_flight;
      upstream = ForwardUpstream();
      upstream.in_flight = in_flight;
    }
    // For one incarnation the leaving state is final.
    const bool stays_leaving = !is_new && !restarted && upstream.info.leaving;
    upstream.info = info;
    upstream.info.leaving = info.leaving || stays_leaving;
    upstream.listed = true;
    if (upstream.concurrency_limit == 0) {
      upstream.concurrency_limit =
          std::max(kMinLimit, kInitialLimitShare * info.slots);
    }
    ApplyStatements(&upstream);
    if (was_usable && !IsUsable(upstream)) newly_leaving.push_back(it->first);
  }
  for (auto it = upstreams_.begin(); it != upstreams_.end();) {
    if (listed_names.count(it->first) > 0) {
      ++it;
      continue;
    }
    if (IsUsable(it->second)) newly_leaving.push_back(it->first);
    it->second.listed = false;
    it = it->second.in_flight == 0 ? upstreams_.erase(it) : std::next(it);
  }
  return newly_leaving;
}

std::vector<ForwardUpstream*> UpstreamBalancer::Candidates(
    const UpstreamCriteria& criteria, TimePoint now) {
  std::vector<ForwardUpstream*> usable;
  const bool is_brittle = IsBrittle(criteria.service, now);
  for (auto& [name, upstream] : upstreams_) {
    if (upstream.info.service != criteria.service) continue;
    if (!MatchesVersion(upstream, criteria)) continue;
    const TimePoint usable_from =
        std::max(upstream.backoff_until, upstream.paused_until);
    if (!IsUsable(upstream) || now < usable_from) continue;
    if (!upstream.HasCapacity(now)) continue;
    if (is_brittle && upstream.in_flight >= BrittleLimit(upstream)) continue;
    if (std::find(criteria.exclude.begin(), criteria.exclude.end(), name) !=
        criteria.exclude.end()) {
      continue;
    }
    usable.push_back(&upstream);
  }
  if (usable.size() < 2) return usable;
  std::vector<double> rates;
  rates.reserve(usable.size());
  for (const ForwardUpstream* upstream : usable) {
    rates.push_back(DecayedErrorRate(*upstream, now));
  }
  std::vector<double> sorted = rates;
  std::sort(sorted.begin(), sorted.end());
  const double bound = sorted[(sorted.size() - 1) / 2] + kMaxErrorRateExcess;
  std::vector<ForwardUpstream*> healthy;
  for (std::size_t i = 0; i < usable.size(); ++i) {
    if (rates[i] <= bound) healthy.push_back(usable[i]);
  }
  return healthy;
}

ForwardUpstream* UpstreamBalancer::Choose(const UpstreamCriteria& criteria,
                                          TimePoint now) {
  std::vector<ForwardUpstream*> candidates = Candidates(criteria, now);
  if (candidates.empty()) return nullptr;
  RemoveAvoided(criteria, &candidates);
  if (ForwardUpstream* preferred = Preferred(criteria, candidates))
    return preferred;
  if (criteria.predicted != nullptr && !criteria.least_loaded)
    return ChooseByPrediction(candidates, *criteria.predicted, now, &random_);
  // A random order breaks ties differently at each node and each time.
  std::shuffle(candidates.begin(), candidates.end(), random_);
  if (!criteria.least_loaded && !criteria.affinity.has_value()) {
    return EarliestCompletion(criteria, candidates, now);
  }
  const auto relative_load = [now](const ForwardUpstream* upstream) {
    return upstream->EstimatedLoad(now) / std::max(1, upstream->info.slots);
  };
  const auto less_loaded = [&](const ForwardUpstream* a,
                               const ForwardUpstream* b) {
    return relative_load(a) < relative_load(b);
  };
  ForwardUpstream* least_loaded_candidate =
      *std::min_element(candidates.begin(), candidates.end(), less_loaded);
  if (criteria.least_loaded) return least_loaded_candidate;
  double total = 0;
  for (const ForwardUpstream* candidate : candidates) {
    total += candidate->EstimatedLoad(now);
  }
  const double bound =
      kMaxRelativeLoad * total / static_cast<double>(candidates.size()) +
      kAffinityLoadSlack;
  std::vector<ForwardUpstream*> within_bound;
  for (ForwardUpstream* candidate : candidates) {
    if (candidate->EstimatedLoad(now) <= bound) {
      within_bound.push_back(candidate);
    }
  }
  return within_bound.empty() ? least_loaded_candidate
                              : SmallestPromptBacklog(criteria, within_bound);
}

ForwardUpstream* UpstreamBalancer::Preferred(
    const UpstreamCriteria& criteria,
    const std::vector<ForwardUpstream*>& candidates) {
  for (const std::string& name : criteria.prefer) {
    const auto found = std::find_if(candidates.begin(), candidates.end(),
                                    [&name](const ForwardUpstream* candidate) {
                                      return candidate->info.id.name == name;
                                    });
    if (found != candidates.end()) return *found;
  }
  return nullptr;
}

ForwardUpstream* UpstreamBalancer::EarliestCompletion(
    const UpstreamCriteria& criteria,
    const std::vector<ForwardUpstream*>& candidates, TimePoint now) {
  ForwardUpstream* best = nullptr;
  ForwardUpstream* local = nullptr;
  double best_time = 0;
  double local_time = 0;
  for (ForwardUpstream* candidate : candidates) {
    const double time = ExpectedCompletionTime(*candidate, now);
    if (best == nullptr || time < best_time) {
      best = candidate;
      best_time = time;
    }
    const bool is_local = candidate->info.domain == criteria.own_domain;
    if (is_local && (local == nullptr || time < local_time)) {
      local = candidate;
      local_time = time;
    }
  }
  return local != nullptr && local_time < kMaxLocalCompletionTime ? local
                                                                  : best;
}

void UpstreamBalancer::RemoveAvoided(
    const UpstreamCriteria& criteria,
    std::vector<ForwardUpstream*>* candidates) {
  if (criteria.avoid.empty()) return;
  std::vector<ForwardUpstream*> others;
  for (ForwardUpstream* candidate : *candidates) {
    const bool avoided =
        std::find(criteria.avoid.begin(), criteria.avoid.end(),
                  candidate->info.id.name) != criteria.avoid.end();
    if (!avoided) others.push_back(candidate);
  }
  if (!others.empty()) *candidates = std::move(others);
}

ForwardUpstream* UpstreamBalancer::SmallestPromptBacklog(
    const UpstreamCriteria& criteria,
    const std::vector<ForwardUpstream*>& candidates) const {
  std::vector<std::pair<std::uint64_t, ForwardUpstream*>> by_preference;
  by_preference.reserve(candidates.size());
  for (ForwardUpstream* candidate : candidates) {
    by_preference.emplace_back(
        RendezvousWeight(candidate->info.id.name, *criteria.affinity),
        candidate);
  }
  std::sort(by_preference.rbegin(), by_preference.rend());
  ForwardUpstream* const preferred = by_preference.front().second;
  std::map<const ForwardUpstream*, std::int64_t> cached;
  if (criteria.cached_prompt_tokens) {
    for (const ForwardUpstream* candidate : candidates) {
      const std::int64_t tokens =
          criteria.cached_prompt_tokens(candidate->info.id);
      if (tokens > 0) cached[candidate] = tokens;
    }
  }
  if (cached.empty()) cached[preferred] = criteria.shared_prompt_tokens;
  const auto backlog = [&](const ForwardUpstream* upstream) {
    const auto found = cached.find(upstream);
    return upstream->pending_prompt_tokens -
           (found == cached.end() ? 0 : found->second);
  };
  ForwardUpstream* best = preferred;
  for (const auto& [weight, candidate] : by_preference) {
    if (backlog(candidate) < backlog(best)) best = candidate;
  }
  return best;
}

ForwardUpstream* UpstreamBalancer::Find(const std::string& name) {
  const auto found = upstreams_.find(name);
  return found == upstreams_.end() ? nullptr : &found->second;
}

void UpstreamBalancer::OnSent(ForwardUpstream* upstream,
                              std::int64_t prompt_tokens, TimePoint now) {
  ++upstream->in_flight;
  ++upstream->sent_since_report;
  upstream->last_sent_at = now;
  upstream->pending_prompt_tokens += prompt_tokens;
}

void UpstreamBalancer::OnPromptProcessed(ForwardUpstream* upstream,
                                         std::int64_t prompt_tokens) {
  // A restarted upstream has lost its prompts, so the count may already be
  // lower.
  upstream->pending_prompt_tokens = std::max<std::int64_t>(
      0, upstream->pending_prompt_tokens - prompt_tokens);
}

void UpstreamBalancer::OnResponseStarted(ForwardUpstream* upstream,
                                         bool in_time, TimePoint now) {
  if (!in_time) {
    if (now - upstream->limit_decreased_at < kLimitDecreaseInterval) return;
    upstream->limit_decreased_at = now;
    upstream->concurrency_limit = std::max(
        kMinLimit, kLimitDecreaseFactor * std::min(upstream->concurrency_limit,
                                                   upstream->in_flight + 1.0));
    return;
  }
  // A limit that is not reached tells nothing about the upstream's capacity.
  if (upstream->in_flight * 2 < upstream->concurrency_limit) return;
  upstream->concurrency_limit =
      std::min(upstream->concurrency_limit + 1 / upstream->concurrency_limit,
               static_cast<double>(upstream->info.slots) + 1);
}

void UpstreamBalancer::OnAttemptEnded(ForwardUpstream* upstream,
                                      ForwardOutcome end, TimePoint now) {
  --upstream->in_flight;
  if (end == ForwardOutcome::kConnectionLost || end == ForwardOutcome::kNotSent)
    upstream->connection_lost_at = now;
  switch (end) {
    case ForwardOutcome::kCompleted:
      upstream->consecutive_rejections = 0;
      RecordOutcome(upstream, false, now);
      break;
    case ForwardOutcome::kCancelled:
      break;
    case ForwardOutcome::kNotSent:
      StartBackoff(upstream, now);
      break;
    case ForwardOutcome::kRejected:
      StartBackoff(upstream, now);
      // One rejection of each node in a second is already much.
      if (IsBrittle(upstream->info.service, now))
        upstream->backoff_until = now + kMaxBackoff;
      break;
    case ForwardOutcome::kFailed:
    case ForwardOutcome::kConnectionLost:
    case ForwardOutcome::kInvalidResponse:
      RecordOutcome(upstream, true, now);
      break;
  }
}

void UpstreamBalancer::OnUnresponsive(ForwardUpstream* upstream,
                                      TimePoint now) {
  RecordOutcome(upstream, true, now);
}

void UpstreamBalancer::OnLoadReport(ForwardUpstream* upstream,
                                    const ReportedLoad& load, TimePoint now) {
  MergeReport(upstream, load, now);
  upstream->report_is_direct = true;
}

void UpstreamBalancer::MergeReport(ForwardUpstream* upstream,
                                   const ReportedLoad& load,
                                   TimePoint reported_at) {
  const bool is_older =
      upstream->load_report.has_value() && reported_at <= upstream->reported_at;
  if (is_older) return;
  upstream->load_report = load;
  upstream->reported_at = reported_at;
  upstream->report_is_direct = false;
  // Of the requests sent from here, at most the last is newer than the report.
  const bool sent_later = upstream->last_sent_at > reported_at;
  upstream->sent_since_report =
      sent_later ? std::min(upstream->sent_since_report, 1) : 0;
  if (load.slots > 0) upstream->info.slots = load.slots;
}

std::vector<UpstreamLoadReport> UpstreamBalancer::DirectReportsSince(
    TimePoint since, TimePoint now) const {
  std::vector<UpstreamLoadReport> reports;
  for (const auto& [name, upstream] : upstreams_) {
    if (!upstream.report_is_direct || upstream.reported_at <= since) continue;
    if (now - upstream.reported_at > kReportTtl) continue;
    reports.push_back(LatestReportOf(upstream, now));
  }
  return reports;
}

std::vector<UpstreamLoadReport> UpstreamBalancer::BusiestReports(
    std::size_t count, TimePoint now) const {
  std::vector<UpstreamLoadReport> reports;
  for (const auto& [name, upstream] : upstreams_) {
    const bool is_fresh = upstream.load_report.has_value() &&
                          now - upstream.reported_at < kReportTtl;
    if (!is_fresh) continue;
    reports.push_back(LatestReportOf(upstream, now));
  }
  const auto busier = [](const UpstreamLoadReport& a,
                         const UpstreamLoadReport& b) {
    const auto per_slot = [](const ReportedLoad& load) {
      return static_cast<double>(load.running + load.waiting) /
             std::max(1, load.slots);
    };
    return per_slot(a.load) > per_slot(b.load);
  };
  const std::size_t selected = std::min(count, reports.size());
  std::partial_sort(reports.begin(),
                    reports.begin() + static_cast<std::ptrdiff_t>(selected),
                    reports.end(), busier);
  reports.resize(selected);
  return reports;
}

void UpstreamBalancer::MergePeerReports(
    const std::vector<UpstreamLoadReport>& reports, TimePoint now) {
  for (const UpstreamLoadReport& report : reports) {
    ForwardUpstream* upstream = Find(report.upstream.name);
    const bool same_incarnation =
        upstream != nullptr &&
        upstream->info.id.incarnation == report.upstream.incarnation;
    if (same_incarnation && report.age >= Duration::zero()) {
      MergeReport(upstream, report.load, now - report.age);
    }
  }
}

void UpstreamBalancer::RecordOutcome(ForwardUpstream* upstream, bool failed,
                                     TimePoint now) {
  const double rate = DecayedErrorRate(*upstream, now);
  upstream->error_rate =
      rate + kErrorRateWeight * ((failed ? 1.0 : 0.0) - rate);
  upstream->error_rate_updated_at = now;
}

void UpstreamBalancer::StartBackoff(ForwardUpstream* upstream, TimePoint now) {
  const int doublings = std::min(upstream->consecutive_rejections, 8);
  ++upstream->consecutive_rejections;
  upstream->backoff_until =
      now + std::min<Duration>(kInitialBackoff * (1 << doublings), kMaxBackoff);
}

bool UpstreamBalancer::OnBrittle(const std::string& service, TimePoint now) {
  const bool is_new = !IsBrittle(service, now);
  brittle_until_[service] = now + kBrittleTime;
  return is_new;
}

bool UpstreamBalancer::IsBrittle(const std::string& service,
                                 TimePoint now) const {
  const auto found = brittle_until_.find(service);
  return found != brittle_until_.end() && now < found->second;
}

void UpstreamBalancer::SetNodes(std::vector<std::string> names, int count) {
  node_count_ = std::max(count, static_cast<int>(names.size()));
  if (names == nodes_) return;
  nodes_ = std::move(names);
  ranks_.clear();
}

std::size_t UpstreamBalancer::RankAt(const std::string& upstream) const {
  const std::uint64_t seed = XXH64(upstream.data(), upstream.size(), 0);
  const std::uint64_t own = RendezvousWeight(node_, seed);
  return static_cast<std::size_t>(
      std::count_if(nodes_.begin(), nodes_.end(), [&](const std::string& name) {
        return RendezvousWeight(name, seed) < own;
      }));
}

int UpstreamBalancer::BrittleLimit(const ForwardUpstream& upstream) {
  const int slots = static_cast<int>(kBrittleSlotShare * upstream.info.slots);
  const int nodes = std::max(1, node_count_);
  const std::string& name = upstream.info.id.name;
  const auto [rank, is_new] = ranks_.try_emplace(name, 0);
  if (is_new) rank->second = RankAt(name);
  // The known nodes stand for all: the rest of the slots goes to as large a
  // part of them.
  const std::size_t rest = static_cast<std::size_t>(slots % nodes) *
                           std::max<std::size_t>(1, nodes_.size()) /
                           static_cast<std::size_t>(nodes);
  return slots / nodes + (rank->second < rest ? 1 : 0);
}

int UpstreamBalancer::UsableCount(
    const std::string& service,
    const std::optional<std::string>& software_version) const {
  return static_cast<int>(std::count_if(
      upstreams_.begin(), upstreams_.end(), [&](const auto& entry) {
        const ForwardUpstreamInfo& info = entry.second.info;
        return info.service == service && IsUsable(entry.second) &&
               software_version.value_or(info.software_version) ==
                   info.software_version;
      }));
}

std::vector<ForwardUpstreamInfo> UpstreamBalancer::Usable(
    const std::string& service) const {
  std::vector<ForwardUpstreamInfo> usable;
  for (const auto& [name, upstream] : upstreams_) {
    if (upstream.info.service == service && IsUsable(upstream))
      usable.push_back(upstream.info);
  }
  return usable;
}

void UpstreamBalancer::ClearBackoffs(const std::string& service,
                                     TimePoint now) {
  for (auto& [name, upstream] : upstreams_) {
    if (upstream.info.service != service) continue;
    upstream.backoff_until = std::min(upstream.backoff_until, now);
    upstream.consecutive_rejections = 0;
  }
}

void UpstreamBalancer::ApplyStatements(ForwardUpstream* upstream) const {
  const UpstreamId& id = upstream->info.id;
  const auto leaving = stated_leaving_.find(id.name);
  if (leaving != stated_leaving_.end() && leaving->second == id.incarnation)
    upstream->info.leaving = true;
  const auto pause = pauses_.find(id.name);
  if (pause == pauses_.end() || pause->second.incarnation != id.incarnation)
    return;
  if (pause->second.until <= upstream->paused_until) return;
  upstream->paused_until = pause->second.until;
  upstream->concurrency_limit = kMinLimit;
}

bool UpstreamBalancer::OnLeaving(const UpstreamId& id) {
  const auto [stated, is_new] =
      stated_leaving_.try_emplace(id.name, id.incarnation);
  if (!is_new && stated->second >= id.incarnation) return false;
  stated->second = id.incarnation;
  if (stated_leaving_.size() > kMaxStatedLeaving) {
    std::erase_if(stated_leaving_, [this](const auto& entry) {
      return !IsListed({entry.first, entry.second});
    });
  }
  if (!IsListed(id)) return true;
  return !std::exchange(upstreams_.at(id.name).info.leaving, true);
}

std::vector<UpstreamId> UpstreamBalancer::StatedLeaving(
    std::size_t count) const {
  std::vector<UpstreamId> leaving;
  for (const auto& [name, incarnation] : stated_leaving_) {
    if (leaving.size() == count) break;
    if (IsListed({name, incarnation})) leaving.push_back({name, incarnation});
  }
  return leaving;
}

void UpstreamBalancer::OnPauseRequested(const UpstreamId& id, TimePoint until,
                                        TimePoint now) {
  std::erase_if(pauses_,
                [now](const auto& entry) { return entry.second.until <= now; });
  Pause& pause = pauses_[id.name];
  if (pause.incarnation > id.incarnation) return;
  if (pause.incarnation < id.incarnation) pause = {id.incarnation, until};
  pause.until = std::max(pause.until, until);
  if (IsListed(id)) ApplyStatements(&upstreams_.at(id.name));
}

std::optional<TimePoint> UpstreamBalancer::EarliestReturn(
    const std::string& service, TimePoint now) const {
  std::optional<TimePoint> earliest;
  for (const auto& [name, upstream] : upstreams_) {
    if (upstream.info.service != service || !IsUsable(upstream)) continue;
    if (upstream.paused_until <= now) return std::nullopt;
    earliest = std::min(earliest.value_or(upstream.paused_until),
                        upstream.paused_until);
  }
  return earliest;
}

bool UpstreamBalancer::IsListed(const UpstreamId& id) const {
  const auto found = upstreams_.find(id.name);
  return found != upstreams_.end() && found->second.listed &&
         found->second.info.id.incarnation == id.incarnation;
}

bool UpstreamBalancer::MayUse(const UpstreamId& id,
                              const std::string& service) const {
  return IsListed(id) && IsUsable(upstreams_.at(id.name)) &&
         upstreams_.at(id.name).info.service == service;
}

}  // namespace pollenledge
