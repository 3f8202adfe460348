#include "pollenledge/process/rollout_shares.h"

#include <algorithm>
#include <cmath>

namespace pollenledge {
namespace {

/// Observations that a usual time must rest on before others are compared with
/// it.
constexpr int kMinUsualCount = 8;
/// Number of the last observations that a usual time follows, so that it
/// follows the load of the service as a whole: some 15 s at ten requests per
/// second on three routes.
constexpr int kMaxUsualCount = 50;
/// Share of the slack that resumed streams may overdraw the credit by. A stream
/// that runs at the target can go on nowhere else.
constexpr double kResumeSlackShare = 0.5;

double LogOf(Duration took) {
  return std::log(std::max(1.0, static_cast<double>(took.count())));
}

bool IsNewer(const RolloutShare& a, const RolloutShare& b) {
  if (a.order != b.order) return a.order > b.order;
  return a.step > b.step;
}

}  // namespace

void RolloutShares::UsualTime::Add(Duration took) {
  count = std::min(count + 1, kMaxUsualCount);
  mean_log += (LogOf(took) - mean_log) / count;
}

std::optional<bool> RolloutShares::UsualTime::IsSlow(Duration took) const {
  if (count < kMinUsualCount) return std::nullopt;
  return LogOf(took) > mean_log + std::log(kSlowFactor);
}

// Versions.

void RolloutShares::OnListed(const std::vector<ForwardUpstreamInfo>& list) {
  if (!enabled()) return;
  listed_.clear();
  for (const ForwardUpstreamInfo& upstream : list) {
    const auto [entry, is_new] =
        listed_[upstream.service].try_emplace(upstream.software_version);
    ListedVersion& version = entry->second;
    if (!upstream.leaving) ++version.usable;
    version.oldest_incarnation =
        is_new ? upstream.id.incarnation
               : std::min(version.oldest_incarnation, upstream.id.incarnation);
  }
  AllowListed();
}

void RolloutShares::AllowListed() {
  for (const auto& [service, versions] : listed_) {
    const auto known = allowed_.lower_bound({service, ""});
    const bool knows_service =
        known != allowed_.end() && known->first == service;
    // Versions that come later need an order.
    if (knows_service || (!complete_at_.has_value() && versions.size() > 1))
      continue;
    const Rollout* rollout = Find(service);
    for (const auto& [version, state] : versions) {
      const bool is_unproven =
          rollout != nullptr && version == rollout->share.target &&
          !(rollout->share.ended && rollout->share.share >= 1);
      if (!is_unproven) allowed_.insert({service, version});
    }
  }
}

std::string RolloutShares::OldestVersion(const std::string& service,
                                         const std::string& except) const {
  const auto versions = listed_.find(service);
  if (versions == listed_.end()) return "";
  const std::string* oldest = nullptr;
  const ListedVersion* best = nullptr;
  for (const auto& [version, state] : versions->second) {
    if (version == except) continue;
    const bool is_older =
        best == nullptr ||
        state.oldest_incarnation < best->oldest_incarnation ||
        (state.oldest_incarnation == best->oldest_incarnation &&
         state.usable > best->usable);
    if (!is_older) continue;
    oldest = &version;
    best = &state;
  }
  return oldest == nullptr ? "" : *oldest;
}

std::string RolloutShares::BaseVersion(const std::string& service,
                                       const std::string& target) const {
  return OldestVersion(service, target);
}

int RolloutShares::UsableCount(const std::string& service,
                               const std::string& version) const {
  const auto versions = listed_.find(service);
  if (versions == listed_.end()) return 0;
  const auto state = versions->second.find(version);
  return state == versions->second.end() ? 0 : state->second.usable;
}

bool RolloutShares::HasOtherUsable(const std::string& service,
                                   const std::string& target) const {
  const auto versions = listed_.find(service);
  if (versions == listed_.end()) return false;
  const std::vector<std::string> forbidden = Forbidden(service);
  return std::any_of(
      versions->second.begin(), versions->second.end(), [&](const auto& entry) {
        return entry.first != target && entry.second.usable > 0 &&
               std::find(forbidden.begin(), forbidden.end(), entry.first) ==
                   forbidden.end();
      });
}

std::vector<std::string> RolloutShares::Forbidden(
    const std::string& service) const {
  const auto versions = listed_.find(service);
  if (versions == listed_.end()) return {};
  const Rollout* rollout = Find(service);
  const auto known = allowed_.lower_bound({service, ""});
  const bool knows_service = known != allowed_.end() && known->first == service;
  const std::string oldest = knows_service ? "" : OldestVersion(service, "");
  std::vector<std::string> forbidden;
  bool has_usable = false;
  for (const auto& [version, state] : versions->second) {
    // The share decides about the target.
    if (rollout != nullptr && rollout->share.target == version) continue;
    const bool is_allowed = knows_service
                                ? allowed_.count({service, version}) > 0
                                : version == oldest;
    if (!is_allowed) forbidden.push_back(version);
    has_usable = has_usable || (is_allowed && state.usable > 0);
  }
  // If no order concerns the service, a version that has replaced all others is
  // its own.
  const bool has_no_order = rollout == nullptr && complete_at_.has_value();
  if (has_no_order && !has_usable) forbidden.clear();
  return forbidden;
}

// Shares.

std::vector<RolloutShare> RolloutShares::Merge(
    const std::vector<RolloutShare>& shares, TimePoint now) {
  std::vector<RolloutShare> changed;
  if (!enabled()) return changed;
  std::optional<TimePoint> complete_at;
  for (const RolloutShare& share : shares) {
    const TimePoint confirmed_at = now - share.age;
    if (share.service.empty()) {
      complete_at = confirmed_at;
      continue;
    }
    const auto [entry, is_new] = rollouts_.try_emplace(share.service);
    Rollout& rollout = entry->second;
    const bool is_newer = is_new || IsNewer(share, rollout.share);
    if (!is_newer && IsNewer(rollout.share, share)) continue;
    if (is_newer) {
      if (rollout.share.order != share.order || is_new) rollout = Rollout();
      rollout.share = share;
      rollout.share.evidence.clear();
      rollout.confirmed_at = confirmed_at;
      if (share.ended && share.share >= 1)
        allowed_.insert({share.service, share.target});
      changed.push_back(rollout.share);
    }
    rollout.confirmed_at = std::max(rollout.confirmed_at, confirmed_at);
  }
  if (complete_at.has_value()) {
    complete_at_ = std::max(complete_at_.value_or(*complete_at), *complete_at);
    AllowListed();
  }
  return changed;
}

std::vector<RolloutShare> RolloutShares::Shares(TimePoint now) const {
  std::vector<RolloutShare> shares;
  for (const auto& [service, rollout] : rollouts_) {
    shares.push_back(rollout.share);
    shares.back().age = now - rollout.confirmed_at;
  }
  if (complete_at_.has_value()) {
    shares.push_back({});
    shares.back().age = now - *complete_at_;
  }
  return shares;
}

double RolloutShares::CurrentShare(const Rollout& rollout,
                                   TimePoint now) const {
  const bool is_valid =
      rollout.share.ended || now - rollout.confirmed_at <= limits_.validity;
  return is_valid ? rollout.share.share : 0;
}

VersionChoice RolloutShares::Choose(
    const std::string& service, const std::optional<std::string>& bound_version,
    bool is_retry, int nodes, TimePoint now) const {
  VersionChoice choice;
  if (!enabled()) return choice;
  choice.excluded = Forbidden(service);
  const Rollout* rollout = Find(service);
  if (rollout == nullptr) return choice;
  const std::string& target = rollout->share.target;
  const double share = CurrentShare(*rollout, now);
  choice.order = rollout->share.order;
  if (bound_version.has_value() && *bound_version != target) return choice;
  if (share >= 1) {
    // An earlier version serves only if no upstream of the target is left.
    if (UsableCount(service, target) > 0 || !HasOtherUsable(service, target)) {
      choice.first = target;
      choice.may_use_others = false;
    }
    return choice;
  }
  if (bound_version.has_value()) {
    const double debt =
        kResumeSlackShare * limits_.exposure_slack / std::max(1, nodes);
    if (share <= 0 || rollout->credit + debt < 1)
      choice.excluded.push_back(target);
    return choice;
  }
  choice.excluded.push_back(target);
  if (share > 0 && !is_retry && rollout->credit >= 1) {
    choice.first = target;
    choice.upstream_share = share;
  }
  // A proven version serves once the earlier ones have stopped, also at a node
  // that has not heard that the roll-out is completed.
  const bool was_moved = !rollout->share.ended && rollout->share.share >= 1;
  if (was_moved && !HasOtherUsable(service, target)) {
    choice.first = target;
    choice.may_use_others = false;
  }
  return choice;
}

bool RolloutShares::MayUse(const std::string& service,
                           const std::string& version, TimePoint now) const {
  if (!enabled()) return true;
  const Rollout* rollout = Find(service);
  if (rollout == nullptr || rollout->share.target != version) return true;
  return CurrentShare(*rollout, now) > 0 ||
         (rollout->share.share >= 1 && !HasOtherUsable(service, version));
}

void RolloutShares::OnSent(const std::string& service,
                           const std::string& version, bool is_new,
                           TimePoint now) {
  Rollout* rollout = Find(service);
  if (rollout == nullptr || rollout->share.ended) return;
  if (is_new) {
    rollout->credit =
        std::min(kMaxCredit, rollout->credit + CurrentShare(*rollout, now));
  }
  if (version == rollout->share.target) rollout->credit -= 1;
}

RolloutShares::Rollout* RolloutShares::Find(const std::string& service) {
  const auto found = rollouts_.find(service);
  return found == rollouts_.end() ? nullptr : &found->second;
}

const RolloutShares::Rollout* RolloutShares::Find(
    const std::string& service) const {
  const auto found = rollouts_.find(service);
  return found == rollouts_.end() ? nullptr : &found->second;
}

// Evidence.

bool RolloutShares::IsObserving(const std::string& service) const {
  const Rollout* rollout = Find(service);
  return rollout != nullptr && !rollout->share.ended;
}

bool RolloutShares::IsTarget(const std::string& service,
                             const std::string& version) const {
  return IsObserving(service) && Find(service)->share.target == version;
}

std::optional<RolloutShare> RolloutShares::KnownShare(
    const std::string& service) const {
  const Rollout* rollout = Find(service);
  if (rollout == nullptr) return std::nullopt;
  return rollout->share;
}

RolloutEvidence* RolloutShares::RowOf(Rollout* rollout,
                                      const RolloutEvidence& where) {
  for (RolloutEvidence& row : rollout->evidence) {
    if (row.route == where.route && row.at_target == where.at_target &&
        row.under_load == where.under_load)
      return &row;
  }
  rollout->evidence.push_back({.route = where.route,
                               .at_target = where.at_target,
                               .under_load = where.under_load});
  return &rollout->evidence.back();
}

void RolloutShares::OnAnswer(const std::string& service,
                             const RolloutEvidence& where, bool failed) {
  if (!IsObserving(service)) return;
  RolloutEvidence* row = RowOf(Find(service), where);
  ++row->answers;
  if (failed) ++row->failed;
}

void RolloutShares::OnStart(const std::string& service,
                            const RolloutEvidence& where, const Start& start) {
  if (!enabled()) return;
  UsualTime& usual =
      usual_starts_[{service, where.route, start.on_new_connection}];
  const std::optional<bool> slow = usual.IsSlow(start.took);
  if (slow.has_value() && IsObserving(service)) {
    RolloutEvidence* row = RowOf(Find(service), where);
    ++row->starts;
    if (*slow) ++row->slow_starts;
  }
  if (!where.at_target) usual.Add(start.took);
}

void RolloutShares::OnPaced(const std::string& service,
                            const RolloutEvidence& where, Duration took) {
  if (!enabled()) return;
  UsualTime& usual = usual_paces_[{service, where.route}];
  const std::optional<bool> slow = usual.IsSlow(took);
  if (slow.has_value() && IsObserving(service)) {
    RolloutEvidence* row = RowOf(Find(service), where);
    ++row->paced;
    if (*slow) ++row->slowly_paced;
  }
  if (!where.at_target) usual.Add(took);
}

bool RolloutShares::IsSlowStart(const std::string& service,
                                const std::string& route,
                                const Start& start) const {
  const auto usual =
      usual_starts_.find({service, route, start.on_new_connection});
  return usual != usual_starts_.end() &&
         usual->second.IsSlow(start.took).value_or(false);
}

std::vector<RolloutShare> RolloutShares::Reports(TimePoint now) const {
  std::vector<RolloutShare> reports;
  for (const auto& [service, rollout] : rollouts_) {
    if (rollout.share.ended) continue;
    reports.push_back(rollout.share);
    reports.back().age = now - rollout.confirmed_at;
    reports.back().evidence = rollout.evidence;
  }
  return reports;
}

}  // namespace pollenledge
