#include "pollenledge/process/upstream_stalls.h"

#include <utility>

namespace pollenledge {

const UpstreamStalls::State* UpstreamStalls::Find(const UpstreamId& id) const {
  const auto found = states_.find(KeyOf(id));
  return found == states_.end() ? nullptr : &found->second;
}

void UpstreamStalls::Set(State* state, bool is_stalled, TimePoint observed_at) {
  if (is_stalled && !state->is_stalled) {
    state->began_at = observed_at;
    ++stalled_count_;
  }
  if (!is_stalled && state->is_stalled) --stalled_count_;
  state->is_stalled = is_stalled;
  state->observed_at = observed_at;
}

bool UpstreamStalls::OnStalled(const UpstreamId& id, TimePoint now) {
  const bool is_new = !IsStalled(id, now);
  State& state = states_[KeyOf(id)];
  Set(&state, true, now);
  if (!state.is_own) state.probed_at = now;
  state.is_own = true;
  return is_new;
}

bool UpstreamStalls::OnProgress(const UpstreamId& id, TimePoint now) {
  if (states_.empty()) return false;
  const auto found = states_.find(KeyOf(id));
  if (found == states_.end()) return false;
  State& state = found->second;
  const bool was_stalled = state.is_stalled;
  Set(&state, false, now);
  state.is_own = false;
  return was_stalled;
}

void UpstreamStalls::Merge(const std::vector<SpeedReport>& reports,
                           TimePoint now) {
  for (const SpeedReport& report : reports) {
    const bool is_stalled = report.kind == SpeedReportKind::kStalled;
    if (!is_stalled && report.kind != SpeedReportKind::kProgressing) continue;
    const TimePoint observed_at = now - report.age;
    if (report.age < Duration::zero() || report.age >= kForgetTime) continue;
    State& state = states_[report.upstream];
    if (observed_at <= state.observed_at) continue;
    Set(&state, is_stalled, observed_at);
    if (!is_stalled) state.is_own = false;
  }
}

std::vector<SpeedReport> UpstreamStalls::Reports(std::size_t count,
                                                 TimePoint now) const {
  std::vector<SpeedReport> reports;
  for (const auto& [key, state] : states_) {
    if (reports.size() == count) break;
    if (!IsCurrent(state, now)) continue;
    SpeedReport report;
    report.upstream = key;
    report.kind = state.is_stalled ? SpeedReportKind::kStalled
                                   : SpeedReportKind::kProgressing;
    report.age = now - state.observed_at;
    reports.push_back(report);
  }
  return reports;
}

bool UpstreamStalls::IsStalled(const UpstreamId& id, TimePoint now) const {
  if (empty()) return false;
  const State* state = Find(id);
  return state != nullptr && state->is_stalled && IsCurrent(*state, now);
}

bool UpstreamStalls::IsProbeDue(const UpstreamId& id, bool is_retryable,
                                TimePoint now) const {
  const State* state = Find(id);
  return state != nullptr && state->is_stalled && state->is_own &&
         now - state->probed_at >= kProbeInterval &&
         (is_retryable || now - state->began_at >= kOnlyRetryableTime);
}

void UpstreamStalls::OnProbeSent(const UpstreamId& id, TimePoint now) {
  const auto found = states_.find(KeyOf(id));
  if (found != states_.end()) found->second.probed_at = now;
}

void UpstreamStalls::Expire(TimePoint now) {
  for (auto it = states_.begin(); it != states_.end();) {
    if (IsCurrent(it->second, now)) {
      ++it;
      continue;
    }
    if (it->second.is_stalled) --stalled_count_;
    it = states_.erase(it);
  }
}

}  // namespace pollenledge
