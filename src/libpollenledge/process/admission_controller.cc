#include "pollenledge/process/admission_controller.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace pollenledge {
namespace {

/// Part of the first-event target that the controller aims at. Beyond 0.7 a
/// stream counts as late for the number of upstreams as well.
constexpr double kTargetShare = 0.7;
/// Integral gain per second. With reports up to 0.5 s old and a proportional
/// time of 1 s, the loop's phase margin stays above 45 degrees.
constexpr double kIntegralGain = 0.15;
/// Rate per second at which the integral returns to one when nothing is late.
constexpr double kReturnRate = 0.5;
constexpr double kMinGain = 0.7;
constexpr double kMaxGain = 1.15;
/// Time in which free slots are filled and waiting requests are worked off. It
/// is about twice the age of the reports, so that one period's correction shows
/// before the next ones add up.
constexpr double kCorrectionTimeS = 1;
/// Lateness beyond this multiple of the target does not add to the pressure, so
/// that one starved class does not decide for all.
constexpr double kMaxRatio = 2;
/// Number of requests from which on a class counts in the pressure.
constexpr double kMinRequests = 3;
/// Least budget as a part of the slots, and least level.
constexpr double kMinBudgetShare = 0.5;
constexpr double kMinLevel = 0.05;
/// Largest change of the level in one period. A burst has to be met at once;
/// rising slowly damps the swing.
constexpr double kMaxFall = 0.5;
constexpr double kMaxRise = 0.1;
/// Part of the level that each priority keeps.
constexpr double kPriorityFloor = 0.3;
/// Load up to which slots stand free.
constexpr double kMaxFreeLoad = 0.9;
/// Pressure from which on the level lists its classes.
constexpr double kListPressure = 0.7;
/// Time constant of a customer's usual load, and the time for which a customer
/// has to be observed before it can count as hot.
constexpr double kUsualTimeS = 60;
constexpr Duration kHistoryTime = std::chrono::seconds(5);
constexpr double kHotExcess = 1.5;
constexpr double kMaxExcess = 4;
constexpr double kMinHotLoadShare = 0.01;
constexpr std::size_t kMaxHotCustomers = 8;
constexpr std::size_t kMaxCustomers = 1024;
/// Bounds of the time in which refused callers come back.
constexpr double kMinClearingS = 0.5;
constexpr double kMaxClearingS = 8;
constexpr double kRefusedTimeS = 2;

bool IsSound(double value) { return std::isfinite(value) && value >= 0; }

bool IsSound(const ClassDemand& demand) {
  for (const double value :
       {demand.target_s, demand.offered_per_s, demand.refused_per_s,
        demand.answered_per_s, demand.unanswered, demand.running,
        demand.first_event_s, demand.slot_s, demand.prompt_tokens,
        demand.response_tokens}) {
    if (!IsSound(value)) return false;
  }
  return std::isfinite(demand.hint_error);
}

/// Adds `value` with `weight` to a mean whose weights so far are `total`.
void AddToMean(double value, double weight, double total, double* mean) {
  if (total + weight <= 0) return;
  *mean += (value - *mean) * weight / (total + weight);
}

void AddDemand(const ClassDemand& demand, ClassDemand* sum) {
  sum->key = demand.key;
  sum->target_s = std::max(sum->target_s, demand.target_s);
  const double known = demand.slot_s > 0 ? demand.offered_per_s : 0;
  const double total = sum->slot_s > 0 ? sum->offered_per_s : 0;
  AddToMean(demand.slot_s, known, total, &sum->slot_s);
  AddToMean(demand.first_event_s, known, total, &sum->first_event_s);
  AddToMean(demand.response_tokens, known, total, &sum->response_tokens);
  AddToMean(demand.hint_error, known, total, &sum->hint_error);
  AddToMean(demand.prompt_tokens, demand.offered_per_s, sum->offered_per_s,
            &sum->prompt_tokens);
  sum->offered_per_s += demand.offered_per_s;
  sum->refused_per_s += demand.refused_per_s;
  sum->answered_per_s += demand.answered_per_s;
  sum->unanswered += demand.unanswered;
  sum->running += demand.running;
}

/// The mean time for which a request uses a slot. Means over the requests that
/// ended lag behind a rising load, so that Little's law is used if there are
/// enough requests.
double SlotTimeS(const ClassDemand& demand) {
  if (demand.answered_per_s < kMinRequests) return demand.slot_s;
  return std::max(demand.slot_s, demand.first_event_s +
                                     demand.running / demand.answered_per_s);
}

/// The time that a request waits for its first event, by Little's law.
double PredictFirstEventS(const ClassDemand& demand) {
  constexpr double kMaxS = 10;
  if (demand.unanswered < 1) return demand.first_event_s;
  return std::min(kMaxS,
                  demand.unanswered / std::max(0.5, demand.answered_per_s));
}

/// Mean of predicted lateness over the classes, by their answered requests.
double Pressure(const std::map<AdmissionClass, ClassDemand>& classes) {
  double weighted = 0;
  double total = 0;
  for (const auto& [key, demand] : classes) {
    const double weight = std::max(demand.answered_per_s, 1.0);
    const bool counts =
        demand.unanswered + demand.answered_per_s >= kMinRequests;
    if (!counts || demand.target_s <= 0) continue;
    weighted += weight * std::min(kMaxRatio,
                                  PredictFirstEventS(demand) / demand.target_s);
    total += weight;
  }
  return total > 0 ? weighted / total : 0;
}

/// Returns the position limit at which the admitted part of the load is `part`
/// although the hot customers are cut more than others.
double ShareForPart(double part,
                    const std::vector<std::pair<double, double>>& hot_parts) {
  if (part >= 1 || hot_parts.empty()) return std::min(1.0, part);
  double low = 0;
  double high = 1;
  for (int i = 0; i < 20; ++i) {
    const double share = (low + high) / 2;
    double admitted = share;
    for (const auto& [load_part, excess] : hot_parts)
      admitted += load_part * (std::pow(share, excess) - share);
    (admitted < part ? low : high) = share;
  }
  return high;
}

}  // namespace

std::vector<double> DivideByUrgency(
    const std::vector<std::pair<AdmissionClass, double>>& loads, double level) {
  double total = 0;
  std::map<int, double> by_priority;
  for (const auto& [key, load] : loads) {
    total += load;
    by_priority[key.priority] += load;
  }
  const double floor = kPriorityFloor * level;
  double rest = std::max(0.0, level - floor) * total;
  std::map<int, double> part_of;
  for (const auto& [priority, load] : by_priority) {
    const double added = std::min(rest, (1 - floor) * load);
    rest -= added;
    part_of[priority] = load > 0 ? floor + added / load : 1;
  }
  std::vector<double> parts;
  parts.reserve(loads.size());
  for (const auto& [key, load] : loads) parts.push_back(part_of[key.priority]);
  return parts;
}

void AdmissionController::OnDemand(const std::string& node,
                                   const AdmissionDemand& demand,
                                   TimePoint now) {
  demands_[node] = {demand, now};
}

AdmissionController::Classes AdmissionController::SumClasses(TimePoint now) {
  Classes classes;
  std::erase_if(demands_, [now](const auto& entry) {
    return now - entry.second.received_at > kDemandTtl;
  });
  for (const auto& [node, known] : demands_) {
    for (const ClassDemand& demand : known.demand.classes) {
      if (IsSound(demand)) AddDemand(demand, &classes[demand.key]);
    }
  }
  for (auto& [key, demand] : classes) demand.slot_s = SlotTimeS(demand);
  // A class without a finished request is taken to need the mean slot time.
  double slot_s = 0;
  double weight = 0;
  for (const auto& [key, demand] : classes) {
    if (demand.slot_s <= 0) continue;
    AddToMean(demand.slot_s, demand.offered_per_s, weight, &slot_s);
    weight += demand.offered_per_s;
  }
  for (auto& [key, demand] : classes) {
    if (demand.slot_s <= 0) demand.slot_s = slot_s;
  }
  return classes;
}

void AdmissionController::UpdateCustomers(TimePoint now) {
  if (!customers_since_.has_value()) customers_since_ = now;
  double total = 0;
  for (auto& [name, history] : customers_) history.recent = 0;
  for (const auto& [node, known] : demands_) {
    for (const CustomerLoad& customer : known.demand.customers) {
      const bool has_room = customers_.size() < kMaxCustomers ||
                            customers_.count(customer.customer) > 0;
      if (!IsSound(customer.load) || !has_room) continue;
      customers_[customer.customer].recent += customer.load;
      total += customer.load;
    }
  }
  if (total <= 0) return;
  const Duration observed = now - *customers_since_;
  // At first the average is taken over the time since the start.
  const double time_s =
      std::clamp(ToSeconds(observed), ToSeconds(kPeriod), kUsualTimeS);
  const double weight = std::min(1.0, ToSeconds(kPeriod) / time_s);
  for (auto& [name, history] : customers_)
    history.usual += weight * (history.recent / total - history.usual);
}

std::vector<HotCustomer> AdmissionController::HotCustomers() const {
  std::vector<HotCustomer> hot;
  if (!computed_at_.has_value() || !customers_since_.has_value() ||
      *computed_at_ - *customers_since_ < kHistoryTime)
    return hot;
  double total = 0;
  for (const auto& [name, history] : customers_) total += history.recent;
  for (const auto& [name, history] : customers_) {
    const double share = total > 0 ? history.recent / total : 0;
    if (share < kMinHotLoadShare) continue;
    // A customer that was absent may have an equal part.
    const double usual = std::max(
        history.usual, 1.0 / static_cast<double>(customers_.size() + 1));
    const double excess = share / std::min(1.0, usual);
    if (excess >= kHotExcess)
      hot.push_back({name, std::min(kMaxExcess, excess)});
  }
  std::sort(hot.begin(), hot.end(),
            [](const HotCustomer& a, const HotCustomer& b) {
              return std::pair(-a.excess, a.customer) <
                     std::pair(-b.excess, b.customer);
            });
  if (hot.size() > kMaxHotCustomers) hot.resize(kMaxHotCustomers);
  return hot;
}

double AdmissionController::Budget(const Classes& classes, double slots,
                                   double scale, double pressure,
                                   TimePoint now) {
  double slot_s = 0;
  double weight = 0;
  double late = 0;
  double in_progress = 0;
  for (const auto& [key, demand] : classes) {
    AddToMean(demand.slot_s, demand.offered_per_s, weight, &slot_s);
    weight += demand.offered_per_s;
    const double in_time =
        demand.answered_per_s * kTargetShare * demand.target_s;
    late += std::max(0.0, demand.unanswered - in_time) * scale;
    in_progress += (demand.unanswered + demand.running) * scale;
  }
  const double dt =
      computed_at_.has_value()
          ? std::min(ToSeconds(now - *computed_at_), 2 * ToSeconds(kPeriod))
          : 0;
  // The integral is frozen while nothing is refused and nothing is late, and
  // returns to one.
  const bool idle = level_ >= 1 && pressure < kTargetShare;
  const double change = idle ? kReturnRate * (1 - gain_)
                             : kIntegralGain * (kTargetShare - pressure);
  gain_ = std::clamp(gain_ + change * dt, kMinGain, kMaxGain);
  const double free = std::max(0.0, slots - in_progress);
  const double correction = slot_s * (free - late) / kCorrectionTimeS;
  return std::max(kMinBudgetShare * slots, gain_ * slots + correction);
}

AdmissionLevel AdmissionController::Compute(double slots, int known_nodes,
                                            const Instant& now) {
  AdmissionLevel result;
  result.version = static_cast<std::uint64_t>(
      std::max<std::int64_t>(1, now.wall.time_since_epoch().count() / 1000));
  const Classes classes = SumClasses(now.monotonic);
  UpdateCustomers(now.monotonic);
  const double scale = std::max(
      1.0,
      known_nodes / std::max<double>(1, static_cast<double>(demands_.size())));
  result.pressure = Pressure(classes);
  const double budget =
      Budget(classes, slots, scale, result.pressure, now.monotonic);
  computed_at_ = now.monotonic;
  std::vector<std::pair<AdmissionClass, double>> loads;
  double offered = 0;
  double refused_load = 0;
  double waiting_load = 0;
  double in_progress = 0;
  for (const auto& [key, demand] : classes) {
    loads.emplace_back(key, demand.offered_per_s * demand.slot_s * scale);
    offered += loads.back().second;
    refused_load += demand.refused_per_s * demand.slot_s * scale;
    waiting_load += demand.unanswered * demand.slot_s * scale;
    in_progress += (demand.unanswered + demand.running) * scale;
  }
  double wanted = offered > 0 && slots > 0
                      ? std::clamp(budget / offered, kMinLevel, 1.0)
                      : 1;
  // Nothing is refused for long while slots stand free: first events are then
  // late for another reason, which refusals do not mend.
  const bool has_free_slots = in_progress < kMaxFreeLoad * slots;
  if (has_free_slots)
    wanted = std::max(wanted, std::min(1.0, level_ + kMaxRise));
  level_ = std::clamp(wanted, level_ - kMaxFall, level_ + kMaxRise);
  result.level = level_;
  result.clearing = FromSeconds(std::clamp(
      (refused_load * kRefusedTimeS + waiting_load) / std::max(1.0, slots),
      kMinClearingS, kMaxClearingS));
  if (level_ >= 1 && result.pressure < kListPressure) return result;
  result.hot_customers = HotCustomers();
  double customer_load = 0;
  for (const auto& [name, history] : customers_)
    customer_load += history.recent;
  std::vector<std::pair<double, double>> hot_parts;
  for (const HotCustomer& hot : result.hot_customers) {
    hot_parts.emplace_back(customers_.at(hot.customer).recent / customer_load,
                           hot.excess);
  }
  const std::vector<double> parts = DivideByUrgency(loads, level_);
  for (std::size_t i = 0; i < loads.size(); ++i) {
    const ClassDemand& demand = classes.at(loads[i].first);
    const double read_share =
        demand.slot_s > 0
            ? std::clamp(demand.first_event_s / demand.slot_s, 0.0, 1.0)
            : 0;
    result.classes.push_back({demand.key, ShareForPart(parts[i], hot_parts),
                              PredictFirstEventS(demand), demand.prompt_tokens,
                              demand.response_tokens, read_share,
                              std::exp(demand.hint_error)});
  }
  return result;
}

}  // namespace pollenledge
