#include "pollenledge/process/forward_upstreams.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <set>

namespace pollenledge {
namespace {

/// A load report counts for this long: about the time in which the requests
/// that it counted have been replaced by others.
constexpr Duration kReportLife = std::chrono::seconds(1);
/// Load over the mean at which a request goes past its preferred upstream.
/// Mirrokni et al. give 1.25 to 2 as the useful range.
constexpr double kLoadBound = 1.5;
/// Time in which what an upstream said of its speed loses two thirds of its
/// weight: others share its machine, and their work comes and goes.
constexpr Duration kSpeedMemory = std::chrono::milliseconds(300);
constexpr double kUsualPercent = 100;
/// Requests over the bound that do not matter yet: prompts of so few requests
/// are read in less time than a typical prompt saves.
constexpr double kLoadSlack = 2;
/// First and longest pause after an upstream refused or could not be reached.
constexpr Duration kFirstPause = std::chrono::milliseconds(200);
constexpr Duration kLongestPause = std::chrono::seconds(2);
/// Weight of the newest outcome in the error rate.
constexpr double kErrorGain = 0.2;
/// Time in which an error rate that is not renewed halves, so that an upstream
/// that was passed over is tried again.
constexpr Duration kErrorHalfLife = std::chrono::seconds(3);
/// An upstream is passed over when its error rate exceeds that of its
/// service's best half by this much.
constexpr double kErrorMargin = 0.25;
/// Expected time in an upstream, in usual times of its work, beyond which a
/// plain request goes to another failure domain.
constexpr double kLocalTimeBound = 1.3;
/// Part of the time of a request with all slots taken that the last free slot
/// still costs: upstreams slow down when they are nearly full.
constexpr double kLoadCost = 0.4;

/// Requests of one node at an upstream that is not known yet, as part of its
/// slots: some nodes share it.
constexpr double kFirstLimitPart = 0.25;
/// Least limit: enough to learn that an upstream has become fast again.
constexpr double kLeastLimit = 2;
/// What a late answer leaves of the limit, at most once each `kCutPause`: the
/// time in which the answers to requests sent before the cut have come.
constexpr double kLimitCut = 0.8;
constexpr Duration kCutPause = std::chrono::milliseconds(400);
/// Requests that an upstream may have beyond its slots before new ones wait
/// here: it admits the next one without a round trip.
constexpr double kSlotsBeyond = 1.1;

double ErrorRate(const ForwardUpstream& upstream, TimePoint now) {
  const double halvings =
      ToSeconds(now - upstream.error_rate_at) / ToSeconds(kErrorHalfLife);
  return upstream.error_rate * std::exp2(-std::max(0.0, halvings));
}

bool MayBeGivenWork(const ForwardUpstream& upstream) {
  return upstream.listed && !upstream.info.leaving;
}

/// Time until a request sent now would end, in usual times of the work.
double ExpectedTime(const ForwardUpstream& upstream, TimePoint now) {
  const double slots = std::max(1, upstream.info.slots);
  const double load = upstream.EstimatedLoad(now) / slots;
  const double waiting = std::max(0.0, load + 1 / slots - 1);
  return upstream.Slowness(now) *
         (1 + kLoadCost * std::min(1.0, load) + waiting);
}

/// What `upstream` said last; it must have said something.
HeardLoad HeardFrom(const ForwardUpstream& upstream, TimePoint now) {
  return {upstream.info.id, *upstream.report, now - upstream.reported_at};
}

std::uint64_t RendezvousWeight(const std::string& name,
                               std::uint64_t affinity) {
  return XXH64(name.data(), name.size(), affinity);
}

}  // namespace

double ForwardUpstream::EstimatedLoad(TimePoint now) const {
  if (!report.has_value() || now - reported_at > kReportLife) return in_flight;
  const int reported = report->running + report->waiting;
  return std::max(in_flight, reported + sent_since_report);
}

double ForwardUpstream::Slowness(TimePoint now) const {
  if (!report.has_value()) return 1;
  const double weight =
      std::exp(-ToSeconds(now - reported_at) / ToSeconds(kSpeedMemory));
  return 1 + weight * (report->work_percent / kUsualPercent - 1);
}

bool ForwardUpstream::HasRoom(TimePoint now) const {
  return in_flight < limit && EstimatedLoad(now) < kSlotsBeyond * info.slots;
}

std::vector<std::string> ForwardUpstreams::SetList(
    const std::vector<ForwardUpstreamInfo>& list) {
  std::vector<std::string> leaving;
  std::set<std::string> named;
  for (const ForwardUpstreamInfo& info : list) {
    named.insert(info.id.name);
    const auto [it, is_new] = upstreams_.try_emplace(info.id.name);
    ForwardUpstream& upstream = it->second;
    const bool restarted =
        !is_new && upstream.info.id.incarnation != info.id.incarnation;
    const bool was_usable = !is_new && MayBeGivenWork(upstream);
    if (restarted) {
      const int in_flight = upstream.in_flight;
      upstream = ForwardUpstream();
      upstream.in_flight = in_flight;
    }
    // Leaving is final for one incarnation.
    const bool stays_leaving = !is_new && !restarted && upstream.info.leaving;
    upstream.info = info;
    upstream.info.leaving = info.leaving || stays_leaving;
    upstream.listed = true;
    if (upstream.limit == 0) {
      upstream.limit = std::max(kLeastLimit, kFirstLimitPart * info.slots);
    }
    if (was_usable && !MayBeGivenWork(upstream)) leaving.push_back(it->first);
  }
  for (auto it = upstreams_.begin(); it != upstreams_.end();) {
    if (named.count(it->first) > 0) {
      ++it;
      continue;
    }
    if (MayBeGivenWork(it->second)) leaving.push_back(it->first);
    it->second.listed = false;
    it = it->second.in_flight == 0 ? upstreams_.erase(it) : std::next(it);
  }
  return leaving;
}

std::vector<ForwardUpstream*> ForwardUpstreams::Candidates(
    const UpstreamQuery& query, TimePoint now) {
  std::vector<ForwardUpstream*> usable;
  for (auto& [name, upstream] : upstreams_) {
    if (upstream.info.service != query.service) continue;
    if (!MayBeGivenWork(upstream) || now < upstream.avoid_until) continue;
    if (!upstream.HasRoom(now)) continue;
    if (std::find(query.exclude.begin(), query.exclude.end(), name) !=
        query.exclude.end()) {
      continue;
    }
    usable.push_back(&upstream);
  }
  if (usable.size() < 2) return usable;
  std::vector<double> rates;
  rates.reserve(usable.size());
  for (const ForwardUpstream* upstream : usable) {
    rates.push_back(ErrorRate(*upstream, now));
  }
  std::vector<double> sorted = rates;
  std::sort(sorted.begin(), sorted.end());
  const double bound = sorted[(sorted.size() - 1) / 2] + kErrorMargin;
  std::vector<ForwardUpstream*> sound;
  for (std::size_t i = 0; i < usable.size(); ++i) {
    if (rates[i] <= bound) sound.push_back(usable[i]);
  }
  return sound;
}

ForwardUpstream* ForwardUpstreams::Choose(const UpstreamQuery& query,
                                          TimePoint now) {
  std::vector<ForwardUpstream*> candidates = Candidates(query, now);
  if (candidates.empty()) return nullptr;
  RemoveAvoided(query, &candidates);
  // Ties fall differently at each node and time.
  std::shuffle(candidates.begin(), candidates.end(), random_);
  if (!query.least_loaded && !query.affinity.has_value()) {
    return FirstToEnd(query, candidates, now);
  }
  const auto relative_load = [now](const ForwardUpstream* upstream) {
    return upstream->EstimatedLoad(now) / std::max(1, upstream->info.slots);
  };
  const auto less_loaded = [&](const ForwardUpstream* a,
                               const ForwardUpstream* b) {
    return relative_load(a) < relative_load(b);
  };
  ForwardUpstream* least =
      *std::min_element(candidates.begin(), candidates.end(), less_loaded);
  if (query.least_loaded) return least;
  double total = 0;
  for (const ForwardUpstream* candidate : candidates) {
    total += candidate->EstimatedLoad(now);
  }
  const double bound =
      kLoadBound * total / static_cast<double>(candidates.size()) + kLoadSlack;
  std::vector<ForwardUpstream*> within_bound;
  for (ForwardUpstream* candidate : candidates) {
    if (candidate->EstimatedLoad(now) <= bound) {
      within_bound.push_back(candidate);
    }
  }
  return within_bound.empty() ? least : LeastToRead(query, within_bound);
}

ForwardUpstream* ForwardUpstreams::FirstToEnd(
    const UpstreamQuery& query, const std::vector<ForwardUpstream*>& candidates,
    TimePoint now) {
  ForwardUpstream* best = nullptr;
  ForwardUpstream* local = nullptr;
  double best_time = 0;
  double local_time = 0;
  for (ForwardUpstream* candidate : candidates) {
    const double time = ExpectedTime(*candidate, now);
    if (best == nullptr || time < best_time) {
      best = candidate;
      best_time = time;
    }
    const bool is_local = candidate->info.domain == query.own_domain;
    if (is_local && (local == nullptr || time < local_time)) {
      local = candidate;
      local_time = time;
    }
  }
  return local != nullptr && local_time < kLocalTimeBound ? local : best;
}

void ForwardUpstreams::RemoveAvoided(
    const UpstreamQuery& query, std::vector<ForwardUpstream*>* candidates) {
  if (query.avoid.empty()) return;
  std::vector<ForwardUpstream*> others;
  for (ForwardUpstream* candidate : *candidates) {
    const bool avoided =
        std::find(query.avoid.begin(), query.avoid.end(),
                  candidate->info.id.name) != query.avoid.end();
    if (!avoided) others.push_back(candidate);
  }
  if (!others.empty()) *candidates = std::move(others);
}

ForwardUpstream* ForwardUpstreams::LeastToRead(
    const UpstreamQuery& query,
    const std::vector<ForwardUpstream*>& candidates) const {
  std::vector<std::pair<std::uint64_t, ForwardUpstream*>> by_preference;
  by_preference.reserve(candidates.size());
  for (ForwardUpstream* candidate : candidates) {
    by_preference.emplace_back(
        RendezvousWeight(candidate->info.id.name, *query.affinity), candidate);
  }
  std::sort(by_preference.rbegin(), by_preference.rend());
  ForwardUpstream* const preferred = by_preference.front().second;
  const auto tokens_to_read = [&](const ForwardUpstream* upstream) {
    return upstream->unread_tokens +
           (upstream == preferred ? 0 : query.shared_tokens);
  };
  ForwardUpstream* best = preferred;
  for (const auto& [weight, candidate] : by_preference) {
    if (tokens_to_read(candidate) < tokens_to_read(best)) best = candidate;
  }
  return best;
}

ForwardUpstream* ForwardUpstreams::Find(const std::string& name) {
  const auto found = upstreams_.find(name);
  return found == upstreams_.end() ? nullptr : &found->second;
}

void ForwardUpstreams::OnSent(ForwardUpstream* upstream,
                              std::int64_t unread_tokens, TimePoint now) {
  ++upstream->in_flight;
  ++upstream->sent_since_report;
  upstream->sent_at = now;
  upstream->unread_tokens += unread_tokens;
}

void ForwardUpstreams::OnPromptRead(ForwardUpstream* upstream,
                                    std::int64_t unread_tokens) {
  // An upstream that restarted has forgotten its prompts.
  upstream->unread_tokens =
      std::max<std::int64_t>(0, upstream->unread_tokens - unread_tokens);
}

void ForwardUpstreams::OnAnswerBegun(ForwardUpstream* upstream, bool in_time,
                                     TimePoint now) {
  if (!in_time) {
    if (now - upstream->limit_cut_at < kCutPause) return;
    upstream->limit_cut_at = now;
    upstream->limit = std::max(
        kLeastLimit,
        kLimitCut * std::min(upstream->limit, upstream->in_flight + 1.0));
    return;
  }
  // A limit that is not used tells nothing of what the upstream can bear.
  if (upstream->in_flight * 2 < upstream->limit) return;
  upstream->limit = std::min(upstream->limit + 1 / upstream->limit,
                             static_cast<double>(upstream->info.slots) + 1);
}

void ForwardUpstreams::OnEnded(ForwardUpstream* upstream, ForwardEnd end,
                               TimePoint now) {
  --upstream->in_flight;
  switch (end) {
    case ForwardEnd::kCompleted:
      upstream->refusals = 0;
      NoteOutcome(upstream, false, now);
      break;
    case ForwardEnd::kMoved:
      break;
    case ForwardEnd::kNotSent:
    case ForwardEnd::kRefused:
      Avoid(upstream, now);
      break;
    case ForwardEnd::kFailed:
    case ForwardEnd::kBroken:
    case ForwardEnd::kInvalid:
      NoteOutcome(upstream, true, now);
      break;
  }
}

void ForwardUpstreams::OnSilent(ForwardUpstream* upstream, TimePoint now) {
  NoteOutcome(upstream, true, now);
}

void ForwardUpstreams::OnReport(ForwardUpstream* upstream,
                                const ReportedLoad& load, TimePoint now) {
  TakeReport(upstream, load, now);
  upstream->heard_here = true;
}

void ForwardUpstreams::TakeReport(ForwardUpstream* upstream,
                                  const ReportedLoad& load,
                                  TimePoint reported_at) {
  const bool is_older =
      upstream->report.has_value() && reported_at <= upstream->reported_at;
  if (is_older) return;
  upstream->report = load;
  upstream->reported_at = reported_at;
  upstream->heard_here = false;
  // Of what was sent here, at most the last request is newer than the report.
  const bool sent_later = upstream->sent_at > reported_at;
  upstream->sent_since_report =
      sent_later ? std::min(upstream->sent_since_report, 1) : 0;
  if (load.slots > 0) upstream->info.slots = load.slots;
}

std::vector<HeardLoad> ForwardUpstreams::ReportsSince(TimePoint since,
                                                      TimePoint now) const {
  std::vector<HeardLoad> reports;
  for (const auto& [name, upstream] : upstreams_) {
    if (!upstream.heard_here || upstream.reported_at <= since) continue;
    if (now - upstream.reported_at > kReportLife) continue;
    reports.push_back(HeardFrom(upstream, now));
  }
  return reports;
}

std::vector<HeardLoad> ForwardUpstreams::BusiestReports(std::size_t count,
                                                        TimePoint now) const {
  std::vector<HeardLoad> reports;
  for (const auto& [name, upstream] : upstreams_) {
    const bool is_fresh =
        upstream.report.has_value() && now - upstream.reported_at < kReportLife;
    if (!is_fresh) continue;
    reports.push_back(HeardFrom(upstream, now));
  }
  const auto busier = [](const HeardLoad& a, const HeardLoad& b) {
    const auto per_slot = [](const ReportedLoad& load) {
      return static_cast<double>(load.running + load.waiting) /
             std::max(1, load.slots);
    };
    return per_slot(a.load) > per_slot(b.load);
  };
  const std::size_t told = std::min(count, reports.size());
  std::partial_sort(reports.begin(),
                    reports.begin() + static_cast<std::ptrdiff_t>(told),
                    reports.end(), busier);
  reports.resize(told);
  return reports;
}

void ForwardUpstreams::TakeReports(const std::vector<HeardLoad>& reports,
                                   TimePoint now) {
  for (const HeardLoad& report : reports) {
    ForwardUpstream* upstream = Find(report.upstream.name);
    const bool is_same = upstream != nullptr && upstream->info.id.incarnation ==
                                                    report.upstream.incarnation;
    if (is_same && report.age >= Duration::zero()) {
      TakeReport(upstream, report.load, now - report.age);
    }
  }
}

void ForwardUpstreams::NoteOutcome(ForwardUpstream* upstream, bool failed,
                                   TimePoint now) {
  const double rate = ErrorRate(*upstream, now);
  upstream->error_rate = rate + kErrorGain * ((failed ? 1.0 : 0.0) - rate);
  upstream->error_rate_at = now;
}

void ForwardUpstreams::Avoid(ForwardUpstream* upstream, TimePoint now) {
  const int doublings = std::min(upstream->refusals, 8);
  ++upstream->refusals;
  upstream->avoid_until =
      now + std::min<Duration>(kFirstPause * (1 << doublings), kLongestPause);
}

int ForwardUpstreams::UsableCount(const std::string& service) const {
  return static_cast<int>(std::count_if(
      upstreams_.begin(), upstreams_.end(), [&](const auto& entry) {
        return entry.second.info.service == service &&
               MayBeGivenWork(entry.second);
      }));
}

}  // namespace pollenledge
