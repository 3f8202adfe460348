#include "scenarios.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace pollenledge::testing {
namespace {

constexpr std::int64_t kPromptTokens = 200;
constexpr std::int64_t kResponseTokens = 100;
constexpr int kSlots = 8;

// Requests per second that one slot can serve, from the prefill rate and the
// inter-token latency of the upstream.
double SlotCapacity(const FakeUpstream& upstream) {
  const double seconds =
      kPromptTokens / upstream.prefill_tokens_per_s +
      kResponseTokens * ToSeconds(upstream.inter_token_latency);
  return 1 / seconds;
}

double FleetCapacity(const VirtualWorld& world) {
  double rate = 0;
  for (const FakeUpstream& upstream : world.upstreams) {
    rate += SlotCapacity(upstream) * upstream.info.slots;
  }
  return rate;
}

// Records each request that is sent and computes the results by category (a
// rank and customer, or "all").
class RequestRecorder {
 public:
  struct SentRequest {
    std::string category;
    TimePoint at;
    Duration target;
    std::int64_t tokens;
  };

  explicit RequestRecorder(VirtualWorld* world) : world_(world) {
    world->before_action = [this](std::size_t, const EntryAction& action) {
      OnAction(action);
      return true;
    };
  }

  void Record(const RequestId& id, const std::string& category, Duration target,
              std::int64_t tokens) {
    sent_[id] = {category, world_->now().monotonic, target, tokens};
  }

  // Computes the time to first token from the dispatches and the prefill rate
  // of the fakes: the timelines of the entries are bounded and drop events.
  std::map<std::string, WorkResult> Results() const {
    std::map<std::string, WorkResult> results;
    for (const auto& [id, sent] : sent_) {
      WorkResult& result = results[sent.category];
      ++result.sent;
      result.requested_tokens += sent.tokens;
    }
    for (const RecordedResponse& response : world_->responses) {
      const auto found = sent_.find(response.id);
      if (found == sent_.end() || !response.outcome.has_value()) continue;
      WorkResult& result = results[found->second.category];
      if (!std::holds_alternative<Completed>(*response.outcome)) {
        ++result.rejected;
        continue;
      }
      ++result.completed;
      result.served_tokens += found->second.tokens;
      const auto first = first_token_.find(response.id);
      const bool in_time =
          first != first_token_.end() &&
          first->second - found->second.at <= found->second.target;
      if (in_time) ++result.within_target;
    }
    return results;
  }

  void RecordFirstToken(const RequestId& id) {
    first_token_.emplace(id, world_->now().monotonic);
  }

 private:
  void OnAction(const EntryAction& action) {
    const auto* dispatch = std::get_if<action::Dispatch>(&action);
    if (dispatch == nullptr) return;
    const auto upstream = std::find_if(
        world_->upstreams.begin(), world_->upstreams.end(),
        [&](const auto& u) { return u.info.id == dispatch->upstream; });
    const double contention = std::max(
        1.0, (upstream->running_requests + 1.0) / upstream->info.slots);
    const Duration prefill =
        FromSeconds(kPromptTokens / upstream->prefill_tokens_per_s *
                    upstream->slowdown_factor * contention);
    world_->Schedule(2 * world_->network_delay + prefill,
                     [this, id = dispatch->id] { RecordFirstToken(id); });
  }

  VirtualWorld* world_;
  std::map<RequestId, SentRequest> sent_;
  std::map<RequestId, TimePoint> first_token_;
};

// Calls `send` with exponentially distributed gaps, `rate` times per second on
// average, until `end`.
void SendAtRate(VirtualWorld* world, double rate, TimePoint end,
                const std::function<void()>& send) {
  const double gap = std::exponential_distribution<>(rate)(world->random());
  world->Schedule(FromSeconds(gap), [=] {
    if (world->now().monotonic >= end) return;
    send();
    SendAtRate(world, rate, end, send);
  });
}

std::vector<std::string> CustomerNames() {
  return {"large", "small-1", "small-2", "small-3", "small-4"};
}

}  // namespace

FloodResult RunFlood(const FloodOptions& options) {
  VirtualWorld world(options.seed);
  for (int i = 0; i < 3; ++i) {
    const std::string suffix(1, static_cast<char>('a' + i));
    world.AddEntry("entry-" + suffix, "domain-" + suffix);
  }
  for (int i = 0; i < 9; ++i) {
    const std::string suffix(1, static_cast<char>('a' + i % 3));
    world.AddUpstream("models", "domain-" + suffix, 300'000, kSlots);
  }
  const bool is_baseline = options.policy == FloodPolicy::kFirstComeFirstServed;
  Tables tables = MakeTables(CustomerNames());
  const Tables ranked_tables = tables;
  if (is_baseline) {
    for (RankPolicy& rank : tables.ranks) {
      rank.first_token_target = std::chrono::minutes(10);
      rank.floor_share = 0;
    }
  }
  world.Start(tables);
  world.RunFor(std::chrono::seconds(2));
  RequestRecorder recorder(&world);
  const double capacity = FleetCapacity(world);
  const TimePoint end = world.now().monotonic + options.duration;
  const auto send = [&](Rank rank, const std::string& customer) {
    const std::size_t entry = world.random()() % world.entries.size();
    const auto response_tokens =
        static_cast<std::int64_t>(20 + world.random()() % (2 * 80 + 1));
    RequestSpec spec = MakeModelRequest(is_baseline ? "large" : customer,
                                        is_baseline ? Rank::kStandard : rank,
                                        kPromptTokens, response_tokens);
    const RequestId id = world.SubmitRequest(entry, spec);
    recorder.Record(id, std::string(ToString(rank)) + "/" + customer,
                    ranked_tables.policy(rank).first_token_target,
                    kPromptTokens + response_tokens);
  };
  for (std::size_t i = 0; i < kRankCount; ++i) {
    const Rank rank = static_cast<Rank>(i);
    const bool is_overloaded = rank == options.flooded_rank;
    const double rate =
        capacity * (is_overloaded ? options.flood_load_factor : 0.2);
    const double total_weight = options.largest_customer_factor + 4;
    for (const std::string& customer : CustomerNames()) {
      const double weight =
          customer == "large" ? options.largest_customer_factor : 1;
      SendAtRate(&world, rate * weight / total_weight, end,
                 [send, rank, customer] { send(rank, customer); });
    }
  }
  world.RunFor(options.duration + std::chrono::seconds(5));
  FloodResult result;
  std::int64_t served = 0;
  for (const auto& [category, work] : recorder.Results()) {
    const std::size_t slash = category.find('/');
    const Rank rank = *ParseRank(category.substr(0, slash));
    WorkResult& sum = result.ranks[static_cast<std::size_t>(rank)];
    sum.sent += work.sent;
    sum.completed += work.completed;
    sum.within_target += work.within_target;
    sum.rejected += work.rejected;
    sum.requested_tokens += work.requested_tokens;
    sum.served_tokens += work.served_tokens;
    served += work.served_tokens;
    if (rank == options.flooded_rank) {
      result.flooded_rank_by_customer[category.substr(slash + 1)] = work;
    }
  }
  for (std::size_t i = 0; i < kRankCount; ++i) {
    result.token_share[i] =
        static_cast<double>(result.ranks[i].served_tokens) /
        static_cast<double>(std::max<std::int64_t>(1, served));
  }
  result.utilisation =
      static_cast<double>(served) / (capacity * ToSeconds(options.duration) *
                                     (kPromptTokens + kResponseTokens));
  return result;
}

namespace {

// Baseline policy: chooses among all upstreams, knowing only their last load
// reports.
class BaselineBalancer {
 public:
  BaselineBalancer(RoutingPolicy policy, VirtualWorld* world)
      : policy_(policy),
        world_(world),
        reported_running_(world->upstreams.size(), 0) {
    PublishReport();
  }

  std::size_t Choose() {
    if (policy_ == RoutingPolicy::kRandom) {
      return world_->random()() % world_->upstreams.size();
    }
    const auto least =
        std::min_element(reported_running_.begin(), reported_running_.end());
    return static_cast<std::size_t>(least - reported_running_.begin());
  }

 private:
  void PublishReport() {
    std::vector<int> running;
    for (const FakeUpstream& upstream : world_->upstreams) {
      running.push_back(upstream.running_requests);
    }
    world_->Schedule(world_->report_lag,
                     [this, running] { reported_running_ = running; });
    world_->Schedule(world_->report_interval, [this] { PublishReport(); });
  }

  RoutingPolicy policy_;
  VirtualWorld* world_;
  std::vector<int> reported_running_;
};

double CoefficientOfVariation(const std::vector<int>& counts) {
  double sum = 0;
  double squares = 0;
  for (const int count : counts) {
    sum += count;
    squares += static_cast<double>(count) * count;
  }
  const double n = static_cast<double>(counts.size());
  const double mean = sum / n;
  if (mean <= 0) return 0;
  return std::sqrt(std::max(0.0, squares / n - mean * mean)) / mean;
}

}  // namespace

RoutingResult RunRouting(const RoutingOptions& options) {
  VirtualWorld world(options.seed);
  for (int i = 0; i < options.entries; ++i) {
    const std::string suffix(1, static_cast<char>('a' + i % 4));
    world.AddEntry("entry-" + std::to_string(i), "domain-" + suffix);
  }
  for (int i = 0; i < 18; ++i) {
    const std::string suffix(1, static_cast<char>('a' + i % 4));
    const std::int64_t price = i < 12 ? 280'000 : 850'000;
    world.AddUpstream("models", "domain-" + suffix, price, kSlots);
  }
  if (options.one_slow_upstream) world.upstreams[0].slowdown_factor = 8;
  Tables tables = MakeTables(CustomerNames());
  world.Start(tables);
  world.RunFor(std::chrono::seconds(2));
  RequestRecorder recorder(&world);
  BaselineBalancer balancer(options.policy, &world);
  const bool is_baseline = options.policy != RoutingPolicy::kPollenledge;
  RoutingResult result;
  std::vector<int> dispatch_counts(world.upstreams.size(), 0);
  std::vector<double> imbalances;
  const auto record_dispatch = world.before_action;
  world.before_action = [&](std::size_t entry, const EntryAction& action) {
    const auto* dispatch = std::get_if<action::Dispatch>(&action);
    if (dispatch == nullptr) return true;
    action::Dispatch sent = *dispatch;
    if (is_baseline) sent.upstream = world.upstreams[balancer.Choose()].info.id;
    record_dispatch(entry, sent);
    for (std::size_t u = 0; u < world.upstreams.size(); ++u) {
      if (world.upstreams[u].info.id == sent.upstream) ++dispatch_counts[u];
    }
    if (!is_baseline) return true;
    world.Execute(entry, sent);
    return false;
  };
  std::function<void()> close_interval = [&] {
    const std::vector<int> cheap_counts(dispatch_counts.begin(),
                                        dispatch_counts.begin() + 12);
    if (std::count(cheap_counts.begin(), cheap_counts.end(), 0) < 12) {
      imbalances.push_back(CoefficientOfVariation(cheap_counts));
    }
    std::fill(dispatch_counts.begin(), dispatch_counts.end(), 0);
    world.Schedule(world.report_interval, close_interval);
  };
  close_interval();
  const double rate = FleetCapacity(world) * options.load_factor;
  const TimePoint end = world.now().monotonic + options.duration;
  SendAtRate(&world, rate, end, [&] {
    RequestSpec spec = MakeModelRequest("large", Rank::kUrgent, kPromptTokens,
                                        kResponseTokens);
    // The prompts belong to 40 families; those of a family share three blocks.
    const std::uint64_t family = world.random()() % 40;
    spec.prefix_hashes = {family * 10 + 1, family * 10 + 2, family * 10 + 3};
    const std::size_t entry = world.random()() % world.entries.size();
    const RequestId id = world.SubmitRequest(entry, spec);
    recorder.Record(id, "all", tables.policy(Rank::kUrgent).first_token_target,
                    kPromptTokens + kResponseTokens);
  });
  world.RunFor(options.duration + std::chrono::seconds(30));
  result.work = recorder.Results()["all"];
  for (const double imbalance : imbalances) {
    result.dispatch_imbalance +=
        imbalance / static_cast<double>(imbalances.size());
  }
  double micros = 0;
  for (const FakeUpstream& upstream : world.upstreams) {
    const double slot_seconds =
        1 / SlotCapacity(upstream) * upstream.slowdown_factor;
    micros += upstream.execution_count * slot_seconds / 3600 *
              static_cast<double>(upstream.info.price_micros_per_hour) /
              upstream.info.slots;
  }
  result.cost_micros_per_response =
      micros / std::max(1, result.work.within_target);
  result.computed_prompt_tokens =
      world.computed_tokens - result.work.completed * kResponseTokens;
  for (const FakeEntry& entry : world.entries) {
    result.missed_prefix_tokens +=
        static_cast<std::int64_t>(entry.node->stats().missed_prefix_tokens);
  }
  return result;
}

ReclaimResult RunReclaims(const ReclaimOptions& options) {
  VirtualWorld world(options.seed);
  for (const char* suffix : {"a", "b"}) {
    world.AddEntry(std::string("entry-") + suffix,
                   std::string("domain-") + suffix);
  }
  for (int i = 0; i < 9; ++i) {
    const std::string suffix(1, static_cast<char>('a' + i % 3));
    world.AddUpstream("models", "domain-" + suffix, 300'000, kSlots);
  }
  world.Start(MakeTables(CustomerNames()));
  world.RunFor(std::chrono::seconds(2));
  RequestRecorder recorder(&world);
  const auto record_dispatch = world.before_action;
  world.before_action = [&](std::size_t entry, const EntryAction& action) {
    record_dispatch(entry, action);
    const auto* dispatch = std::get_if<action::Dispatch>(&action);
    if (dispatch == nullptr || !options.restart_from_scratch) return true;
    action::Dispatch from_start = *dispatch;
    world.recomputed_tokens += from_start.resume.delivered_tokens;
    from_start.resume.kv_source.clear();
    world.Execute(entry, from_start);
    return false;
  };
  const TimePoint end = world.now().monotonic + std::chrono::seconds(40);
  SendAtRate(&world, FleetCapacity(world) * 0.1, end, [&] {
    RequestSpec spec = MakeModelRequest("large", Rank::kStandard, 800, 400);
    const std::size_t entry = world.random()() % world.entries.size();
    recorder.Record(world.SubmitRequest(entry, spec), "all",
                    std::chrono::seconds(3), 1200);
  });
  // Reclaims one instance, then the rest of its domain, then another domain
  // while the requests of the first have just failed over to it.
  const auto reclaim = [&](std::size_t upstream) {
    const UpstreamId id = world.upstreams[upstream].info.id;
    world.Submit(
        0, event::UpstreamNoticeReceived{id, UpstreamState::kLeaving,
                                         options.notice_period, "notice"});
    world.Schedule(options.notice_period,
                   [&world, upstream] { world.KillUpstream(upstream); });
  };
  world.Schedule(std::chrono::seconds(8), [&] { reclaim(0); });
  world.Schedule(std::chrono::seconds(16), [&] {
    for (const std::size_t u : {3UL, 6UL}) reclaim(u);
  });
  world.Schedule(std::chrono::seconds(17), [&] {
    for (const std::size_t u : {1UL, 4UL}) reclaim(u);
  });
  world.RunFor(std::chrono::seconds(100));
  const WorkResult work = recorder.Results()["all"];
  ReclaimResult result;
  result.sent = work.sent;
  result.completed = work.completed;
  for (const RecordedResponse& response : world.responses) {
    const bool not_run = response.outcome.has_value() &&
                         std::holds_alternative<NotRun>(*response.outcome);
    if (not_run && world.CountExecutions(response.id) == 0) ++result.rejected;
  }
  result.recomputed_tokens = world.recomputed_tokens;
  result.delivered_tokens = static_cast<std::int64_t>(work.completed) * 400;
  return result;
}

}  // namespace pollenledge::testing
