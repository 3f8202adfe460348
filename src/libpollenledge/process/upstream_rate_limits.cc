#include "pollenledge/process/upstream_rate_limits.h"

#include <algorithm>

namespace pollenledge {

const char* ToString(RateLimitChange change) {
  switch (change) {
    case RateLimitChange::kBegan:
      return "began";
    case RateLimitChange::kChanged:
      return "changed";
    case RateLimitChange::kEnded:
      return "ended";
    case RateLimitChange::kNone:
      break;
  }
  return "none";
}

RateLimitChange UpstreamRateLimits::OnResponse(
    const UpstreamId& upstream, std::optional<double> requests_per_s,
    TimePoint sent_at, TimePoint now) {
  const auto found = statements_.find(upstream.name);
  const bool is_known = found != statements_.end() &&
                        found->second.incarnation >= upstream.incarnation;
  if (!is_known) {
    if (!requests_per_s.has_value()) return RateLimitChange::kNone;
    return Set(upstream, requests_per_s, now);
  }
  const Statement& known = found->second;
  if (known.incarnation > upstream.incarnation) return RateLimitChange::kNone;
  if (!known.requests_per_s.has_value()) {
    if (!requests_per_s.has_value()) return RateLimitChange::kNone;
    return Set(upstream, requests_per_s, now);
  }
  const bool is_lower =
      requests_per_s.has_value() && *requests_per_s <= *known.requests_per_s;
  if (!is_lower && sent_at <= known.stated_at) return RateLimitChange::kNone;
  return Set(upstream, requests_per_s,
             requests_per_s.has_value() ? now : sent_at);
}

RateLimitChange UpstreamRateLimits::Merge(const RateLimitReport& report,
                                          TimePoint now) {
  const TimePoint stated_at =
      now - std::max<Duration>(report.age, Duration::zero());
  const auto found = statements_.find(report.upstream.name);
  const bool is_known =
      found != statements_.end() &&
      found->second.incarnation >= report.upstream.incarnation;
  if (!is_known && report.ended) return RateLimitChange::kNone;
  const bool is_older =
      is_known && (found->second.incarnation > report.upstream.incarnation ||
                   stated_at <= found->second.stated_at);
  if (is_older) return RateLimitChange::kNone;
  std::optional<double> requests_per_s;
  if (!report.ended) requests_per_s = report.requests_per_s;
  return Set(report.upstream, requests_per_s, stated_at);
}

RateLimitChange UpstreamRateLimits::Set(const UpstreamId& upstream,
                                        std::optional<double> requests_per_s,
                                        TimePoint stated_at) {
  Statement& statement = statements_[upstream.name];
  const bool was_limited = statement.incarnation == upstream.incarnation &&
                           statement.requests_per_s.has_value();
  const bool is_same = statement.requests_per_s == requests_per_s;
  statement = {upstream.incarnation, requests_per_s, stated_at};
  if (!requests_per_s.has_value())
    return was_limited ? RateLimitChange::kEnded : RateLimitChange::kNone;
  if (!was_limited) return RateLimitChange::kBegan;
  return is_same ? RateLimitChange::kNone : RateLimitChange::kChanged;
}

std::vector<RateLimitReport> UpstreamRateLimits::NextReports(std::size_t count,
                                                             TimePoint now) {
  std::vector<RateLimitReport> reports;
  auto next = statements_.upper_bound(last_reported_);
  while (reports.size() < std::min(count, statements_.size())) {
    if (next == statements_.end()) next = statements_.begin();
    const auto& [name, statement] = *next;
    reports.push_back({{name, statement.incarnation},
                       statement.requests_per_s.value_or(0),
                       !statement.requests_per_s.has_value(),
                       now - statement.stated_at});
    last_reported_ = name;
    ++next;
  }
  return reports;
}

std::optional<double> UpstreamRateLimits::LimitOf(
    const UpstreamId& upstream) const {
  const auto found = statements_.find(upstream.name);
  const bool is_known = found != statements_.end() &&
                        found->second.incarnation == upstream.incarnation;
  return is_known ? found->second.requests_per_s : std::nullopt;
}

std::vector<UpstreamId> UpstreamRateLimits::Limited() const {
  std::vector<UpstreamId> limited;
  for (const auto& [name, statement] : statements_) {
    if (statement.requests_per_s.has_value())
      limited.push_back({name, statement.incarnation});
  }
  return limited;
}

void UpstreamRateLimits::RemoveOutdated(
    const std::function<bool(const UpstreamId&)>& is_listed, TimePoint now) {
  std::erase_if(statements_, [&](const auto& entry) {
    const auto& [name, statement] = entry;
    const Duration age = now - statement.stated_at;
    if (!statement.requests_per_s.has_value() && age > kEndReportTime)
      return true;
    return age > kUnlistedRetention &&
           !is_listed({name, statement.incarnation});
  });
}

}  // namespace pollenledge
