#include "scenarios.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace pollenledge::testing {
namespace {

constexpr std::int64_t kPromptTokens = 200;
constexpr std::int64_t kAnswerTokens = 100;
constexpr int kSlots = 8;

// Requests a second that a slot can take: prompt and answer at the pace of
// FakeUpstream.
double SlotRate(const FakeUpstream& upstream) {
  const double seconds = kPromptTokens / upstream.prefill_tokens_per_s +
                         kAnswerTokens * ToSeconds(upstream.between_tokens);
  return 1 / seconds;
}

double FleetRate(const VirtualWorld& world) {
  double rate = 0;
  for (const FakeUpstream& upstream : world.upstreams) {
    rate += SlotRate(upstream) * upstream.info.slots;
  }
  return rate;
}

// Notes for each request sent what it was, and finds out what became of it.
class Accounts {
 public:
  struct Sent {
    std::string account;
    TimePoint at;
    Duration target;
    std::int64_t tokens;
  };

  explicit Accounts(VirtualWorld* world) : world_(world) {
    world->before_action = [this](std::size_t, const EntryAction& action) {
      OnAction(action);
      return true;
    };
  }

  void Note(const RequestId& id, const std::string& account, Duration target,
            std::int64_t tokens) {
    sent_[id] = {account, world_->now().monotonic, target, tokens};
  }

  // The time from arrival to first token, found from the entries' time lines
  // would be bounded; dispatches and the fakes' pace give it exactly.
  std::map<std::string, WorkResult> Results() const {
    std::map<std::string, WorkResult> results;
    for (const auto& [id, sent] : sent_) {
      WorkResult& result = results[sent.account];
      ++result.sent;
      result.tokens_asked += sent.tokens;
    }
    for (const RecordedAnswer& answer : world_->answers) {
      const auto found = sent_.find(answer.id);
      if (found == sent_.end() || !answer.outcome.has_value()) continue;
      WorkResult& result = results[found->second.account];
      if (!std::holds_alternative<Completed>(*answer.outcome)) {
        ++result.refused;
        continue;
      }
      ++result.completed;
      result.tokens_served += found->second.tokens;
      const auto first = first_token_.find(answer.id);
      const bool in_time =
          first != first_token_.end() &&
          first->second - found->second.at <= found->second.target;
      if (in_time) ++result.within_target;
    }
    return results;
  }

  void OnFirstToken(const RequestId& id) {
    first_token_.emplace(id, world_->now().monotonic);
  }

 private:
  void OnAction(const EntryAction& action) {
    const auto* dispatch = std::get_if<action::Dispatch>(&action);
    if (dispatch == nullptr) return;
    const auto upstream = std::find_if(
        world_->upstreams.begin(), world_->upstreams.end(),
        [&](const auto& u) { return u.info.id == dispatch->upstream; });
    const double crowding =
        std::max(1.0, (upstream->running + 1.0) / upstream->info.slots);
    const Duration prefill =
        FromSeconds(kPromptTokens / upstream->prefill_tokens_per_s *
                    upstream->slowdown * crowding);
    world_->At(2 * world_->network_delay + prefill,
               [this, id = dispatch->id] { OnFirstToken(id); });
  }

  VirtualWorld* world_;
  std::map<RequestId, Sent> sent_;
  std::map<RequestId, TimePoint> first_token_;
};

// Sends requests at random moments with a mean rate, until `end`.
void SendAtRate(VirtualWorld* world, double rate, TimePoint end,
                const std::function<void()>& send) {
  const double gap = std::exponential_distribution<>(rate)(world->random());
  world->At(FromSeconds(gap), [=] {
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
  const bool naive = options.policy == FloodPolicy::kFirstComeFirstServed;
  Tables tables = MakeTables(CustomerNames());
  const Tables truth = tables;
  if (naive) {
    for (RankPolicy& rank : tables.ranks) {
      rank.first_token_target = std::chrono::minutes(10);
      rank.floor_share = 0;
    }
  }
  world.Start(tables);
  world.RunFor(std::chrono::seconds(2));
  Accounts accounts(&world);
  const double capacity = FleetRate(world);
  const TimePoint end = world.now().monotonic + options.length;
  const auto send = [&](Rank rank, const std::string& customer) {
    const std::size_t entry = world.random()() % world.entries.size();
    const auto answer =
        static_cast<std::int64_t>(20 + world.random()() % (2 * 80 + 1));
    RequestSpec spec =
        MakeSpec(naive ? "large" : customer, naive ? Rank::kStandard : rank,
                 kPromptTokens, answer);
    const RequestId id = world.Arrive(entry, spec);
    accounts.Note(id, std::string(ToString(rank)) + "/" + customer,
                  truth.policy(rank).first_token_target,
                  kPromptTokens + answer);
  };
  for (std::size_t i = 0; i < kRankCount; ++i) {
    const Rank rank = static_cast<Rank>(i);
    const bool floods = rank == options.flooded;
    const double rate = capacity * (floods ? options.flood_factor : 0.2);
    const double parts = options.largest_customer + 4;
    for (const std::string& customer : CustomerNames()) {
      const double part = customer == "large" ? options.largest_customer : 1;
      SendAtRate(&world, rate * part / parts, end,
                 [send, rank, customer] { send(rank, customer); });
    }
  }
  world.RunFor(options.length + std::chrono::seconds(5));
  FloodResult result;
  std::int64_t served = 0;
  for (const auto& [account, work] : accounts.Results()) {
    const std::size_t slash = account.find('/');
    const Rank rank = *ParseRank(account.substr(0, slash));
    WorkResult& sum = result.ranks[static_cast<std::size_t>(rank)];
    sum.sent += work.sent;
    sum.completed += work.completed;
    sum.within_target += work.within_target;
    sum.refused += work.refused;
    sum.tokens_asked += work.tokens_asked;
    sum.tokens_served += work.tokens_served;
    served += work.tokens_served;
    if (rank == options.flooded) {
      result.customers[account.substr(slash + 1)] = work;
    }
  }
  for (std::size_t i = 0; i < kRankCount; ++i) {
    result.share_of_tokens[i] =
        static_cast<double>(result.ranks[i].tokens_served) /
        static_cast<double>(std::max<std::int64_t>(1, served));
  }
  result.utilisation =
      static_cast<double>(served) /
      (capacity * ToSeconds(options.length) * (kPromptTokens + kAnswerTokens));
  return result;
}

namespace {

// Chooses among all upstreams with full knowledge of the reports that a naive
// balancer has, and nothing else.
class NaiveBalancer {
 public:
  NaiveBalancer(RoutingPolicy policy, VirtualWorld* world)
      : policy_(policy), world_(world), reported_(world->upstreams.size(), 0) {
    Report();
  }

  std::size_t Choose() {
    if (policy_ == RoutingPolicy::kRandom) {
      return world_->random()() % world_->upstreams.size();
    }
    const auto least = std::min_element(reported_.begin(), reported_.end());
    return static_cast<std::size_t>(least - reported_.begin());
  }

 private:
  void Report() {
    std::vector<int> running;
    for (const FakeUpstream& upstream : world_->upstreams) {
      running.push_back(upstream.running);
    }
    world_->At(world_->report_lag, [this, running] { reported_ = running; });
    world_->At(world_->report_interval, [this] { Report(); });
  }

  RoutingPolicy policy_;
  VirtualWorld* world_;
  std::vector<int> reported_;
};

double SpreadOf(const std::vector<int>& counts) {
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
  if (options.one_slow_upstream) world.upstreams[0].slowdown = 8;
  Tables tables = MakeTables(CustomerNames());
  world.Start(tables);
  world.RunFor(std::chrono::seconds(2));
  Accounts accounts(&world);
  NaiveBalancer balancer(options.policy, &world);
  const bool naive = options.policy != RoutingPolicy::kPollenledge;
  RoutingResult result;
  std::vector<int> given(world.upstreams.size(), 0);
  std::vector<double> spreads;
  const auto account_for = world.before_action;
  world.before_action = [&](std::size_t entry, const EntryAction& action) {
    const auto* dispatch = std::get_if<action::Dispatch>(&action);
    if (dispatch == nullptr) return true;
    action::Dispatch sent = *dispatch;
    if (naive) sent.upstream = world.upstreams[balancer.Choose()].info.id;
    account_for(entry, sent);
    for (std::size_t u = 0; u < world.upstreams.size(); ++u) {
      if (world.upstreams[u].info.id == sent.upstream) ++given[u];
    }
    if (!naive) return true;
    world.CarryOut(entry, sent);
    return false;
  };
  std::function<void()> close_interval = [&] {
    const std::vector<int> cheap(given.begin(), given.begin() + 12);
    if (std::count(cheap.begin(), cheap.end(), 0) < 12) {
      spreads.push_back(SpreadOf(cheap));
    }
    std::fill(given.begin(), given.end(), 0);
    world.At(world.report_interval, close_interval);
  };
  close_interval();
  const double rate = FleetRate(world) * options.load;
  const TimePoint end = world.now().monotonic + options.length;
  SendAtRate(&world, rate, end, [&] {
    RequestSpec spec =
        MakeSpec("large", Rank::kUrgent, kPromptTokens, kAnswerTokens);
    // Prompts of 40 families, each with three blocks in common.
    const std::uint64_t family = world.random()() % 40;
    spec.prefix_hashes = {family * 10 + 1, family * 10 + 2, family * 10 + 3};
    const std::size_t entry = world.random()() % world.entries.size();
    const RequestId id = world.Arrive(entry, spec);
    accounts.Note(id, "all", tables.policy(Rank::kUrgent).first_token_target,
                  kPromptTokens + kAnswerTokens);
  });
  world.RunFor(options.length + std::chrono::seconds(30));
  result.work = accounts.Results()["all"];
  for (const double spread : spreads) {
    result.spread += spread / static_cast<double>(spreads.size());
  }
  double micros = 0;
  for (const FakeUpstream& upstream : world.upstreams) {
    const double hold = 1 / SlotRate(upstream) * upstream.slowdown;
    micros += upstream.executions * hold / 3600 *
              static_cast<double>(upstream.info.price_micros_per_hour) /
              upstream.info.slots;
  }
  result.cost_micros_per_answer =
      micros / std::max(1, result.work.within_target);
  result.computed_prompt_tokens =
      world.computed_tokens - result.work.completed * kAnswerTokens;
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
  Accounts accounts(&world);
  const auto account_for = world.before_action;
  world.before_action = [&](std::size_t entry, const EntryAction& action) {
    account_for(entry, action);
    const auto* dispatch = std::get_if<action::Dispatch>(&action);
    if (dispatch == nullptr || !options.always_start_over) return true;
    action::Dispatch from_start = *dispatch;
    world.recomputed_tokens += from_start.resume.delivered_tokens;
    from_start.resume.kv_source.clear();
    world.CarryOut(entry, from_start);
    return false;
  };
  const TimePoint end = world.now().monotonic + std::chrono::seconds(40);
  SendAtRate(&world, FleetRate(world) * 0.1, end, [&] {
    RequestSpec spec = MakeSpec("large", Rank::kStandard, 800, 400);
    const std::size_t entry = world.random()() % world.entries.size();
    accounts.Note(world.Arrive(entry, spec), "all", std::chrono::seconds(3),
                  1200);
  });
  // One instance, then a whole domain, then another domain while the first's
  // requests have just moved there.
  const auto reclaim = [&](std::size_t upstream) {
    const UpstreamId id = world.upstreams[upstream].info.id;
    world.Submit(0, event::UpstreamNoticed{id, UpstreamState::kLeaving,
                                           options.notice, "notice"});
    world.At(options.notice,
             [&world, upstream] { world.KillUpstream(upstream); });
  };
  world.At(std::chrono::seconds(8), [&] { reclaim(0); });
  world.At(std::chrono::seconds(16), [&] {
    for (const std::size_t u : {3UL, 6UL}) reclaim(u);
  });
  world.At(std::chrono::seconds(17), [&] {
    for (const std::size_t u : {1UL, 4UL}) reclaim(u);
  });
  world.RunFor(std::chrono::seconds(100));
  const WorkResult work = accounts.Results()["all"];
  ReclaimResult result;
  result.sent = work.sent;
  result.completed = work.completed;
  for (const RecordedAnswer& answer : world.answers) {
    const bool not_run = answer.outcome.has_value() &&
                         std::holds_alternative<NotRun>(*answer.outcome);
    if (not_run && world.ExecutionsOf(answer.id) == 0) ++result.refused;
  }
  result.recomputed_tokens = world.recomputed_tokens;
  result.delivered_tokens = static_cast<std::int64_t>(work.completed) * 400;
  return result;
}

}  // namespace pollenledge::testing
