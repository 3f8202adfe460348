#pragma once

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "pollenledge/process/forward_node.h"

namespace pollenledge::testing {

/// A kind of streaming requests of the simulated load.
struct SimulatedKind {
  std::string name;
  int priority = 0;
  double share = 0;  // Of all requests.
  int shared_tokens = 0;
  int own_tokens = 0;
  int events = 0;
  Duration target{0};
  Duration deadline{0};
  bool resumable = false;
};

/// Simulates forwarding nodes of a large fleet and the engines that they share,
/// in virtual time, at a given multiple of the engines' capacity.
///
/// An engine has a number of slots. It reads the prompts of the requests in its
/// slots one after the other, the most urgent first, and writes their events at
/// intervals that grow with the number of running requests. Requests beyond the
/// slots wait at the engine, the most urgent first.
///
/// The seed determines all random choices. Not thread-safe.
class AdmissionFleet {
 public:
  static constexpr Duration kMillisecond = std::chrono::milliseconds(1);
  static constexpr Duration kSecond = std::chrono::seconds(1);
  static constexpr std::size_t kNodes = 89;
  static constexpr std::size_t kEngines = 60;
  static constexpr int kSlots = 24;
  static constexpr int kCustomers = 20;
  static constexpr int kHotCustomers = 2;
  // Requests per second of this mix that the engines serve without refusals,
  // found by raising the rate until requests were late.
  static constexpr double kCapacityPerSecond = 900;

  enum class Policy {
    kNodeQueues,      // Each node has its own queues.
    kFleetAdmission,  // As before, behind the fleet's admission level.
    kOneQueue,        // One queue that sees all requests and all slots.
  };

  struct Counts {
    int requests = 0;
    int in_time = 0;
    int late = 0;
    int refused = 0;
    double InTimeShare() const {
      return requests == 0 ? 0 : static_cast<double>(in_time) / requests;
    }
    double ServedShare() const {
      return requests == 0 ? 0 : static_cast<double>(in_time + late) / requests;
    }
  };

  AdmissionFleet(Policy policy, std::uint64_t seed)
      : policy_(policy), random_(seed) {
    kinds_ = {
        {"build", 2, 0.25, 5382, 6610, 42, 1200 * kMillisecond, 12 * kSecond,
         false},
        {"hint", 0, 0.5, 198, 628, 32, 400 * kMillisecond, 10 * kSecond, true},
        {"mark", 1, 0.25, 568, 1800, 3, 400 * kMillisecond, 2500 * kMillisecond,
         false}};
    for (std::size_t i = 0; i < kEngines; ++i) {
      Engine engine;
      engine.name = "u" + std::to_string(i);
      engine.speed = i % 3 == 2 ? 1.3 : 1.0;
      engines_.push_back(std::move(engine));
    }
    if (policy_ == Policy::kOneQueue) return;
    const auto tables = MakeTables();
    for (std::size_t i = 0; i < kNodes; ++i) {
      ForwardNodeOptions options;
      options.self.id = {"n" + std::to_string(i), 1};
      options.self.peer_address = std::to_string(i);
      options.self.cpu_percent = i % 8 == 0 ? 50 : 12;
      options.seeds = {"0", "1", "2"};
      options.retry_slack = 100;
      options.random_seed = seed * 1000 + i;
      options.adaptive_scheduling = policy_ == Policy::kFleetAdmission;
      options.assume_uneven_upstreams = options.adaptive_scheduling;
      nodes_.push_back(std::make_unique<ForwardNode>(options));
    }
    for (std::size_t i = 0; i < kNodes; ++i) {
      Submit(i, forward_event::TablesRead{tables, now_});
      Submit(i, forward_event::UpstreamsListed{ListEngines(), 1, now_});
      Submit(i, forward_event::SuspectsRead{});
      // The nodes did not start at the same time.
      Schedule(Duration(static_cast<std::int64_t>(i) * 500),
               [this, i] { Tick(i); });
    }
    RunFor(4 * kSecond);
  }

  /// Sends requests for `time`, at `times` the capacity. `kind_factors`
  /// multiplies the rate of some kinds, `hot_factor` that of two customers.
  void Run(Duration time, double times,
           const std::map<std::string, double>& kind_factors = {},
           double hot_factor = 1) {
    const TimePoint end = now_ + time;
    const double rate = times * kCapacityPerSecond;
    for (const SimulatedKind& kind : kinds_) {
      for (int customer = 0; customer < kCustomers; ++customer) {
        double share = kind.share * CustomerShare(customer);
        const auto factor = kind_factors.find(kind.name);
        if (factor != kind_factors.end()) share *= factor->second;
        if (customer < kHotCustomers) share *= hot_factor;
        ScheduleArrivals(kind, customer, rate * share, end);
      }
    }
    RunFor(time);
  }

  /// Advances the virtual clock and runs the events that are due.
  void RunFor(Duration time) {
    const TimePoint end = now_ + time;
    while (!events_.empty() && events_.begin()->first <= end) {
      now_ = events_.begin()->first;
      const auto event = std::move(events_.begin()->second);
      events_.erase(events_.begin());
      event();
    }
    now_ = end;
  }

  /// Forgets the counts so far.
  void ResetCounts() {
    by_kind.clear();
    by_customer.clear();
    by_size.clear();
    total = {};
    levels.clear();
    free_slots_at_refusals.clear();
    admission_refusals = 0;
    longest_refusal = {};
    measured_from_ = now_;
  }

  ForwardNode& node(std::size_t i) { return *nodes_[i]; }
  TimePoint now() const { return now_; }
  static constexpr char kHot[] = "hot";
  static constexpr char kOthers[] = "others";

  Counts total;
  std::map<std::string, Counts> by_kind;
  std::map<std::string, Counts> by_customer;  // kHot and kOthers.
  std::map<std::string, Counts> by_size;      // "small" and "large" of a kind.
  // The level at a node, each 250 ms.
  std::vector<double> levels;
  // The part of all slots that was free at each refusal by the level.
  std::vector<double> free_slots_at_refusals;
  int admission_refusals = 0;
  Duration longest_refusal{0};  // From arrival to a refusal by the level.
  // Returns whether a network partition separates two nodes. Unset: none does.
  std::function<bool(std::size_t, std::size_t)> is_partitioned;

 private:
  struct Job {
    ForwardId id = 0;
    std::size_t node = 0;
    std::size_t kind = 0;
    int customer = 0;
    bool is_large = false;
    int own_tokens = 0;
    int events = 0;
    TimePoint arrived_at;
    bool in_measurement = false;
    bool first_event = false;
    int attempt = 0;
    bool is_done = false;
  };
  struct Engine {
    std::string name;
    double speed = 1;
    int running = 0;
    int reserved = 0;
    TimePoint reading_until;
    // Waiting attempts: priority, order, request and attempt.
    std::set<std::tuple<int, std::uint64_t, ForwardId, int>> waiting;
    std::set<std::tuple<int, std::uint64_t, ForwardId, int>> unread;
    bool is_reading = false;
  };

  static double CustomerShare(int customer) {
    // The hot customers are usually small.
    const double weight = customer < kHotCustomers ? 0.5 : 1;
    return weight / (kCustomers - kHotCustomers + kHotCustomers * 0.5);
  }

  std::shared_ptr<const ForwardingIndex> MakeTables() const {
    ForwardingTables tables;
    tables.version = 1;
    for (const SimulatedKind& kind : kinds_) {
      ForwardingRoute route;
      route.name = kind.name;
      route.host = "h";
      route.path_prefix = "/" + kind.name + "/";
      route.kind = RouteKind::kStreaming;
      route.resumable = kind.resumable;
      route.services = {{"s", 1}};
      route.timeout = kind.deadline;
      route.latency_target = kind.target;
      route.event_gap_target = 400 * kMillisecond;
      route.priority = kind.priority;
      route.max_attempts = kind.resumable ? 2 : 1;
      tables.routes.push_back(route);
    }
    ForwardingService service;
    service.name = "s";
    service.engine = EngineTraits{.slots = kSlots, .tokens_per_event = 8};
    tables.services = {service};
    KnownCustomers known;
    for (int i = 0; i < kCustomers; ++i) {
      known.customers.push_back({.name = "c" + std::to_string(i),
                                 .api_keys = {"key" + std::to_string(i)}});
    }
    tables.access = known;
    return std::make_shared<const ForwardingIndex>(std::move(tables));
  }

  std::vector<ForwardUpstreamInfo> ListEngines() const {
    std::vector<ForwardUpstreamInfo> list;
    for (const Engine& engine : engines_) {
      ForwardUpstreamInfo info;
      info.id = {engine.name, 1};
      info.address = engine.name;
      info.service = "s";
      info.slots = kSlots;
      list.push_back(info);
    }
    return list;
  }

  void ScheduleArrivals(const SimulatedKind& kind, int customer, double rate,
                        TimePoint end) {
    const auto index = static_cast<std::size_t>(&kind - kinds_.data());
    TimePoint at = now_;
    while (true) {
      at += FromSeconds(std::exponential_distribution<double>(rate)(random_));
      if (at >= end) return;
      // Sizes vary by a factor of four around their mean.
      const double size =
          std::exp2(std::uniform_real_distribution<double>(-1, 1)(random_));
      const std::size_t node = random_() % kNodes;
      Job job;
      job.id = next_id_++;
      job.node = node;
      job.kind = index;
      job.customer = customer;
      job.is_large = size > 1;
      job.own_tokens = static_cast<int>(kind.own_tokens * size);
      job.events = std::max(1, static_cast<int>(kind.events * size));
      job.in_measurement = true;
      events_.emplace(at, [this, job] { Arrive(job); });
    }
  }

  void Arrive(Job job) {
    job.arrived_at = now_;
    job.in_measurement = now_ >= measured_from_;
    const ForwardId id = job.id;
    jobs_[id] = job;
    Count(id, &Counts::requests);
    if (policy_ == Policy::kOneQueue) {
      const SimulatedKind& kind = kinds_[job.kind];
      central_.emplace(kind.priority, id);
      FillFromCentral();
      return;
    }
    Submit(job.node, forward_event::RequestArrived{id, SpecOf(job)});
  }

  ForwardSpec SpecOf(const Job& job) {
    const SimulatedKind& kind = kinds_[job.kind];
    ForwardSpec spec;
    spec.trace_id = std::to_string(job.id);
    spec.host = "h";
    spec.path = "/" + kind.name + "/x";
    spec.api_key = "key" + std::to_string(job.customer);
    spec.content_fingerprint = {job.id * 0x9e3779b97f4a7c15ULL, job.id};
    spec.time_left = kind.deadline;
    spec.prompt_tokens = kind.shared_tokens + job.own_tokens;
    spec.max_response_tokens = 8 * kind.events * 4;
    spec.has_token_counts = true;
    // Estimates are right at the median but often far off.
    spec.expected_response_tokens = static_cast<std::int64_t>(
        8 * job.events *
        std::exp(std::normal_distribution<double>(0, 0.6)(random_)));
    return spec;
  }

  // Sends the most urgent waiting requests to the engines with most free slots.
  void FillFromCentral() {
    while (!central_.empty()) {
      const ForwardId id = central_.begin()->second;
      Job& job = jobs_.at(id);
      if (now_ - job.arrived_at > kinds_[job.kind].target * 8 / 10) {
        central_.erase(central_.begin());
        Finish(id, &Counts::refused);
        continue;
      }
      const auto best = std::min_element(
          engines_.begin(), engines_.end(), [](const auto& a, const auto& b) {
            return std::pair(a.running, a.unread.size()) <
                   std::pair(b.running, b.unread.size());
          });
      if (best->running >= kSlots) return;
      central_.erase(central_.begin());
      job.attempt = ++attempts_;
      StartAt(static_cast<std::size_t>(best - engines_.begin()), id,
              job.attempt);
    }
  }

  // Engines.

  void EnterEngine(std::size_t index, ForwardId id, int attempt) {
    if (!IsCurrent(id, attempt)) return;
    Engine& engine = engines_[index];
    if (engine.running < kSlots) {
      StartAt(index, id, attempt);
    } else {
      engine.waiting.emplace(kinds_[jobs_.at(id).kind].priority, ++order_, id,
                             attempt);
    }
  }

  void StartAt(std::size_t index, ForwardId id, int attempt) {
    Engine& engine = engines_[index];
    ++engine.running;
    engine.unread.emplace(kinds_[jobs_.at(id).kind].priority, ++order_, id,
                          attempt);
    ReadNext(index);
  }

  void ReadNext(std::size_t index) {
    Engine& engine = engines_[index];
    if (engine.is_reading || engine.unread.empty()) return;
    const auto [priority, order, id, attempt] = *engine.unread.begin();
    engine.unread.erase(engine.unread.begin());
    if (!IsCurrent(id, attempt)) {
      LeaveSlot(index);
      ReadNext(index);
      return;
    }
    engine.is_reading = true;
    const Job& job = jobs_.at(id);
    constexpr double kTokensPerMs = 157;
    const double ms = (job.own_tokens + 200) / kTokensPerMs * 2 * engine.speed;
    Schedule(FromMilliseconds(ms), [this, index, id = id, attempt = attempt] {
      engines_[index].is_reading = false;
      WriteFirst(index, id, attempt);
      ReadNext(index);
    });
  }

  Duration EventInterval(const Engine& engine) const {
    const double load = static_cast<double>(engine.running) / kSlots;
    return FromMilliseconds(28.4 * (1 + load) * engine.speed);
  }

  ReportedLoad LoadOf(const Engine& engine) const {
    return {engine.running, static_cast<int>(engine.waiting.size()), kSlots,
            100};
  }

  void WriteFirst(std::size_t index, ForwardId id, int attempt) {
    if (!IsCurrent(id, attempt)) {
      LeaveSlot(index);
      return;
    }
    const std::size_t node = jobs_.at(id).node;
    const bool is_first = !jobs_.at(id).first_event;
    jobs_.at(id).first_event = true;
    const bool in_time =
        now_ - jobs_.at(id).arrived_at <= kinds_[jobs_.at(id).kind].target;
    if (policy_ != Policy::kOneQueue) {
      UpstreamSignals signals;
      signals.load = LoadOf(engines_[index]);
      Submit(node, forward_event::ResponseHeadReceived{id, signals});
      if (IsCurrent(id, attempt))
        Submit(node, forward_event::FirstEventReceived{id});
    }
    if (is_first) Count(id, in_time ? &Counts::in_time : &Counts::late);
    Progress(index, id, attempt, 1);
  }

  // Writes about half a second of events at a time.
  void Progress(std::size_t index, ForwardId id, int attempt, int written) {
    const auto found = jobs_.find(id);
    if (!IsCurrent(id, attempt)) {
      LeaveSlot(index);
      return;
    }
    if (written >= found->second.events) {
      EndAt(index, id, written);
      return;
    }
    constexpr int kChunk = 8;
    const int next = std::min(found->second.events, written + kChunk);
    Schedule(
        EventInterval(engines_[index]) * (next - written),
        [this, index, id, attempt, next] {
          if (IsCurrent(id, attempt) && policy_ != Policy::kOneQueue) {
            Submit(jobs_.at(id).node, forward_event::EventsForwarded{id, next});
          }
          Progress(index, id, attempt, next);
        });
  }

  void EndAt(std::size_t index, ForwardId id, int) {
    const std::size_t node = jobs_.at(id).node;
    jobs_.at(id).attempt = 0;
    LeaveSlot(index);
    if (policy_ == Policy::kOneQueue) {
      jobs_.erase(id);
      return;
    }
    Submit(node, forward_event::AttemptEnded{id, ForwardOutcome::kCompleted,
                                             200, LoadOf(engines_[index])});
  }

  void LeaveSlot(std::size_t index) {
    Engine& engine = engines_[index];
    --engine.running;
    while (!engine.waiting.empty() && engine.running < kSlots) {
      const auto [priority, order, id, attempt] = *engine.waiting.begin();
      engine.waiting.erase(engine.waiting.begin());
      if (IsCurrent(id, attempt)) StartAt(index, id, attempt);
    }
    if (policy_ == Policy::kOneQueue) FillFromCentral();
  }

  bool IsCurrent(ForwardId id, int attempt) const {
    const auto found = jobs_.find(id);
    return found != jobs_.end() && found->second.attempt == attempt;
  }

  // Nodes.

  void Tick(std::size_t node) {
    Submit(node, forward_event::Ticked{});
    if (node == 5 && now_ - level_noted_at_ >= 250 * kMillisecond) {
      level_noted_at_ = now_;
      const auto level = nodes_[node]->admission().LevelOf("s", now_);
      levels.push_back(level.has_value() ? level->level : 1);
    }
    Schedule(50 * kMillisecond, [this, node] { Tick(node); });
  }

  void Submit(std::size_t node, const ForwardEvent& event) {
    const WallTime wall{now_.time_since_epoch()};
    for (const ForwardAction& action :
         nodes_[node]->Handle(event, {now_, wall})) {
      std::visit([&](const auto& known) { Execute(node, known); }, action);
    }
  }

  void Schedule(Duration delay, std::function<void()> event) {
    events_.emplace(now_ + delay, std::move(event));
  }

  void Execute(std::size_t, const forward_action::SendAttempt& send) {
    Job& job = jobs_.at(send.id);
    job.attempt = ++attempts_;
    const std::size_t index = std::stoul(send.upstream.name.substr(1));
    Schedule(kMillisecond, [this, index, id = send.id, number = job.attempt] {
      EnterEngine(index, id, number);
    });
  }
  void Execute(std::size_t, const forward_action::Reject& reject) {
    const Job& job = jobs_.at(reject.id);
    if (reject.not_run.problem_type == "over-admission-level") {
      ++admission_refusals;
      longest_refusal =
          std::max<Duration>(longest_refusal, now_ - job.arrived_at);
      int free = 0;
      for (const Engine& engine : engines_)
        free += std::max(0, kSlots - engine.running);
      free_slots_at_refusals.push_back(free /
                                       static_cast<double>(kEngines * kSlots));
    }
    ++reject_reasons[reject.not_run.problem_type];
    Finish(reject.id, &Counts::refused);
  }
  void Execute(std::size_t, const forward_action::Fail& fail) {
    const auto found = jobs_.find(fail.id);
    if (!found->second.first_event) Count(fail.id, &Counts::late);
    jobs_.erase(fail.id);
  }
  void Execute(std::size_t, const forward_action::DeliverResponse& deliver) {
    jobs_.erase(deliver.id);
  }
  void Execute(std::size_t, const forward_action::CancelAttempt& cancel) {
    jobs_.at(cancel.id).attempt = 0;
  }
  void Execute(std::size_t node, const forward_action::SendHeartbeat& send) {
    const std::size_t to = std::stoul(send.message.address);
    if (to >= kNodes || (is_partitioned && is_partitioned(node, to))) return;
    Schedule(kMillisecond, [this, to, heartbeat = send.message.heartbeat] {
      Submit(to, forward_event::HeartbeatReceived{heartbeat});
    });
  }
  template <typename Other>
  void Execute(std::size_t, const Other&) {}

  void Finish(ForwardId id, int Counts::*outcome) {
    Count(id, outcome);
    jobs_.erase(id);
  }

  void Count(ForwardId id, int Counts::*outcome) {
    const Job& job = jobs_.at(id);
    if (!job.in_measurement) return;
    const std::string& kind = kinds_[job.kind].name;
    const std::string size = job.is_large ? " large" : " small";
    const std::string customer = job.customer < kHotCustomers ? kHot : kOthers;
    for (Counts* counts : {&total, &by_kind[kind], &by_size[kind + size],
                           &by_customer[customer]}) {
      ++(counts->*outcome);
    }
  }

 public:
  std::map<std::string, int> reject_reasons;

 private:
  Policy policy_;
  std::mt19937_64 random_;
  TimePoint now_{std::chrono::seconds(1000)};
  TimePoint measured_from_;
  TimePoint level_noted_at_;
  std::vector<SimulatedKind> kinds_;
  std::vector<Engine> engines_;
  std::vector<std::unique_ptr<ForwardNode>> nodes_;
  std::multimap<TimePoint, std::function<void()>> events_;
  std::map<ForwardId, Job> jobs_;
  std::set<std::pair<int, ForwardId>> central_;
  ForwardId next_id_ = 1;
  std::uint64_t order_ = 0;
  int attempts_ = 0;
};

}  // namespace pollenledge::testing
