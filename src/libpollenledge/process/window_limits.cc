#include "pollenledge/process/window_limits.h"

#include <algorithm>
#include <utility>

namespace pollenledge {
namespace {

/// Use is summed in slices of this length: an error of one slice in a window.
constexpr Duration kSlice = std::chrono::milliseconds(100);
/// A node whose last heartbeat is older than this counts as silent: twice the
/// time in which every heartbeat should have come.
constexpr Duration kSilent = std::chrono::milliseconds(1200);
/// Part of what is left that goes out in equal parts.
constexpr double kEqualPart = 0.5;
constexpr Duration kLongestWait = std::chrono::seconds(5);

double ReportedRate(const MemberRecord& record, const std::string& customer) {
  for (const CustomerDemand& demand : record.demands) {
    if (demand.customer == customer) return demand.tokens_per_s;
  }
  return 0;
}

}  // namespace

void WindowLimits::Configure(const std::vector<CustomerLimit>& limits) {
  std::map<std::string, Customer> kept;
  for (const CustomerLimit& limit : limits) {
    if (limit.units_per_s <= 0) continue;
    Customer& customer = kept[limit.customer];
    const auto known = customers_.find(limit.customer);
    if (known != customers_.end()) customer = std::move(known->second);
    // A lower limit holds at once; a higher one from the next dealing on.
    if (customer.limit.units_per_s > limit.units_per_s) customer.allowance = 0;
    customer.limit = limit;
  }
  customers_ = std::move(kept);
}

void WindowLimits::Deal(const std::vector<Member>& others, TimePoint now) {
  if (!started_at_.has_value()) {
    started_at_ = now;
    dealt_at_ = now;
  }
  int nodes = 1;
  bool all_heard = true;
  for (const Member& member : others) {
    if (member.status == MemberStatus::kLeft) continue;
    ++nodes;
    if (member.status == MemberStatus::kAlive && member.silence > kSilent) {
      all_heard = false;
    }
  }
  nodes = std::max(nodes, options_.least_nodes);
  for (auto& [name, customer] : customers_) {
    Expire(&customer, now);
    DealOne(&customer, others, all_heard, nodes, now);
  }
  dealt_at_ = now;
}

void WindowLimits::DealOne(Customer* customer,
                           const std::vector<Member>& others, bool all_heard,
                           int nodes, TimePoint now) {
  const double window_s = ToSeconds(options_.window);
  const CustomerLimit& limit = customer->limit;
  const double whole = limit.units_per_s * window_s + limit.burst;
  const double equal_part = whole / nodes;
  const double rate_part = limit.units_per_s / nodes;
  customer->refill_per_s = rate_part;
  if (now - *started_at_ < options_.window) {
    customer->allowance = std::min(
        equal_part,
        customer->allowance + rate_part * ToSeconds(now - dealt_at_));
    return;
  }
  // An allowance that was dealt is not renewed before its use was seen.
  if (!all_heard) return;
  double used = customer->used_sum;
  for (const Member& member : others) {
    if (member.status == MemberStatus::kLeft) continue;
    const double reported =
        ReportedRate(member.record, limit.customer) * window_s;
    used += member.status == MemberStatus::kAlive
                ? reported
                : std::max(reported, equal_part);
  }
  const double left = std::max(0.0, whole - used);
  const double by_use = used <= 0 ? 1.0 / nodes : customer->used_sum / used;
  const double part = kEqualPart / nodes + (1 - kEqualPart) * by_use;
  customer->allowance = left * part;
  customer->refill_per_s = limit.units_per_s * part;
}

std::optional<Duration> WindowLimits::Take(const std::string& customer,
                                           double units, TimePoint now) {
  const auto found = customers_.find(customer);
  if (found == customers_.end()) return std::nullopt;
  Customer& known = found->second;
  if (known.allowance < units) {
    const double missing = units - known.allowance;
    return std::min<Duration>(
        FromSeconds(missing / std::max(1.0, known.refill_per_s)), kLongestWait);
  }
  known.allowance -= units;
  known.used_sum += units;
  if (known.used.empty() || now - known.used.back().at >= kSlice) {
    known.used.push_back({now, 0});
  }
  known.used.back().units += units;
  return std::nullopt;
}

void WindowLimits::Return(const std::string& customer, double units) {
  const auto found = customers_.find(customer);
  if (found == customers_.end() || found->second.used.empty()) return;
  Customer& known = found->second;
  const double returned = std::min(units, known.used.back().units);
  known.used.back().units -= returned;
  known.used_sum -= returned;
  known.allowance += returned;
}

std::vector<CustomerDemand> WindowLimits::Usage(TimePoint now) {
  std::vector<CustomerDemand> usage;
  for (auto& [name, customer] : customers_) {
    Expire(&customer, now);
    if (customer.used_sum <= 0) continue;
    usage.push_back({name, customer.used_sum / ToSeconds(options_.window)});
  }
  std::sort(usage.begin(), usage.end(),
            [](const CustomerDemand& a, const CustomerDemand& b) {
              return a.tokens_per_s > b.tokens_per_s;
            });
  if (usage.size() > MemberRecord::kMaxDemands) {
    usage.resize(MemberRecord::kMaxDemands);
  }
  return usage;
}

void WindowLimits::Expire(Customer* customer, TimePoint now) {
  while (!customer->used.empty() &&
         now - customer->used.front().at > options_.window + kSlice) {
    customer->used_sum -= customer->used.front().units;
    customer->used.pop_front();
  }
  if (customer->used.empty()) customer->used_sum = 0;
}

}  // namespace pollenledge
