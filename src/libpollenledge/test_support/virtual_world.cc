#include "virtual_world.h"

#include <algorithm>
#include <utility>

#include "pollenledge/process/claim_batch.h"

namespace pollenledge::testing {
namespace {

constexpr Duration kTickInterval = std::chrono::milliseconds(50);
constexpr Duration kKvTimeout = std::chrono::milliseconds(800);
constexpr Duration kPeerTimeout = std::chrono::milliseconds(800);

std::string AddressOf(const std::string& name) { return name + ":1"; }

}  // namespace

VirtualWorld::VirtualWorld(std::uint64_t seed) : random_(seed) {}

std::size_t VirtualWorld::AddEntry(const std::string& name,
                                   const std::string& domain) {
  FakeEntry entry;
  entry.name = name;
  entry.domain = domain;
  entries.push_back(std::move(entry));
  return entries.size() - 1;
}

std::size_t VirtualWorld::AddUpstream(const std::string& pool,
                                      const std::string& domain,
                                      std::int64_t price_micros, int slots) {
  FakeUpstream upstream;
  const std::string name = pool + std::to_string(upstreams.size());
  upstream.info = {{name, 1}, AddressOf(name), pool, domain, "l4",
                   true,      price_micros,    slots};
  upstreams.push_back(upstream);
  return upstreams.size() - 1;
}

void VirtualWorld::Start(const Tables& tables) {
  const auto shared = std::make_shared<const Tables>(tables);
  std::vector<std::string> seeds;
  for (const FakeEntry& entry : entries) {
    seeds.push_back(AddressOf(entry.name));
  }
  for (std::size_t i = 0; i < entries.size(); ++i) {
    EntryOptions options;
    options.self.id = {entries[i].name, 1};
    options.self.domain = entries[i].domain;
    options.self.peer_address = AddressOf(entries[i].name);
    options.seeds = seeds;
    options.expected_entries = static_cast<int>(entries.size());
    options.distances = DomainDistances(entries[i].domain, network_delay);
    options.random_seed = random_();
    options.max_requests = 100'000;
    entries[i].node = std::make_unique<EntryNode>(options);
    Submit(i, event::TablesAdopted{shared});
    Tick(i);
  }
  PublishList();
  ReportLoads();
}

void VirtualWorld::PublishList() {
  std::vector<UpstreamInfo> list;
  for (const FakeUpstream& upstream : upstreams) {
    if (upstream.alive) list.push_back(upstream.info);
  }
  for (std::size_t i = 0; i < entries.size(); ++i) {
    Submit(i, event::UpstreamsListed{list});
  }
}

void VirtualWorld::At(Duration delay, std::function<void()> job) {
  jobs_.push({now_ + delay, next_order_++, std::move(job)});
}

void VirtualWorld::RunFor(Duration duration) {
  const TimePoint end = now_ + duration;
  while (!jobs_.empty() && jobs_.top().at <= end) {
    const Job job = jobs_.top();
    jobs_.pop();
    now_ = job.at;
    job.run();
  }
  now_ = end;
}

void VirtualWorld::Submit(std::size_t index, const EntryEvent& event) {
  FakeEntry& entry = entries[index];
  if (!entry.alive) return;
  if (entry.frozen) {
    entry.held.push_back(event);
    return;
  }
  for (const EntryAction& action : entry.node->Handle(event, now())) {
    if (before_action && !before_action(index, action)) continue;
    if (entry.alive) CarryOut(index, action);
  }
}

RequestId VirtualWorld::Arrive(std::size_t entry, const RequestSpec& spec) {
  RequestId id = entries[entry].node->NextRequestId();
  specs_[id] = spec;
  Submit(entry, event::RequestArrived{id, spec});
  return id;
}

void VirtualWorld::Kill(std::size_t entry) {
  entries[entry].alive = false;
  entries[entry].held.clear();
}

void VirtualWorld::Freeze(std::size_t entry) { entries[entry].frozen = true; }

void VirtualWorld::Thaw(std::size_t index) {
  FakeEntry& entry = entries[index];
  entry.frozen = false;
  for (const EntryEvent& event : std::exchange(entry.held, {})) {
    Submit(index, event);
  }
}

void VirtualWorld::KillUpstream(std::size_t upstream) {
  CrashUpstream(upstream);
}

bool VirtualWorld::Connected(const std::string& a, const std::string& b) const {
  return cuts.count({a, b}) == 0 && cuts.count({b, a}) == 0;
}

std::vector<RecordedAnswer> VirtualWorld::AnswersTo(const RequestId& id) const {
  std::vector<RecordedAnswer> found;
  std::copy_if(
      answers.begin(), answers.end(), std::back_inserter(found),
      [&](const RecordedAnswer& response) { return response.id == id; });
  return found;
}

std::size_t VirtualWorld::ExecutionsOf(const std::string& key) const {
  return static_cast<std::size_t>(
      std::count_if(executions.begin(), executions.end(),
                    [&](const auto& run) { return run.key == key; }));
}

std::size_t VirtualWorld::ExecutionsOf(const RequestId& id) const {
  return static_cast<std::size_t>(
      std::count_if(executions.begin(), executions.end(),
                    [&](const auto& run) { return run.id == id; }));
}

void VirtualWorld::Tick(std::size_t entry) {
  if (!entries[entry].alive) return;
  if (!entries[entry].frozen) Submit(entry, event::Ticked{});
  At(kTickInterval, [this, entry] { Tick(entry); });
}

void VirtualWorld::ReportLoads() {
  for (std::size_t u = 0; u < upstreams.size(); ++u) {
    if (!upstreams[u].alive) continue;
    LoadReport report;
    const int slots = upstreams[u].info.slots;
    report.running = std::min(upstreams[u].running, slots);
    report.waiting = std::max(0, upstreams[u].running - slots);
    report.prefill_tokens_per_s = upstreams[u].prefill_tokens_per_s;
    report.between_tokens_ms = ToMilliseconds(upstreams[u].between_tokens);
    report.lag = report_lag;
    At(report_lag, [this, u, report] {
      for (std::size_t e = 0; e < entries.size(); ++e) {
        if (!upstreams[u].alive) continue;
        if (!Connected(entries[e].domain, upstreams[u].info.domain)) continue;
        Submit(e, event::LoadReported{upstreams[u].info.id, report});
      }
    });
  }
  At(report_interval, [this] { ReportLoads(); });
}

void VirtualWorld::CarryOut(std::size_t entry, const EntryAction& action) {
  std::visit(
      Overloaded{
          [&](const action::Dispatch& dispatch) {
            RunDispatch(entry, dispatch);
          },
          [&](const action::Interrupt& interrupt) {
            for (const auto& attempt : attempts_) {
              if (attempt->id == interrupt.id &&
                  attempt->attempt == interrupt.attempt) {
                At(network_delay, [this, attempt] {
                  EndAttempt(attempt, AttemptEnd::kInterrupted);
                });
              }
            }
          },
          [&](const action::Answer& response) {
            answers.push_back(
                {response.id, entry, now_, response.outcome, std::nullopt});
          },
          [&](const action::Replay& replay) {
            answers.push_back(
                {replay.id, entry, now_, std::nullopt, replay.record});
          },
          [&](const action::WriteClaimRecord& write) {
            RunClaimWrite(entry, write.key, write.write,
                          [this, entry, id = write.id](const ClaimReply& r) {
                            Submit(entry, event::ClaimReplied{id, r});
                          });
          },
          [&](const action::ReadClaimRecord& read) {
            RunClaimRead(entry, read.key,
                         [this, entry, id = read.id](const ClaimReply& r) {
                           Submit(entry, event::ClaimReplied{id, r});
                         });
          },
          [&](const action::WriteOutcome& write) {
            RunClaimWrite(
                entry, write.key, write.write,
                [this, entry, write](const ClaimReply& reply) {
                  const ClaimRecord& record = write.write.record;
                  bool ok = std::holds_alternative<ClaimWritten>(reply);
                  if (const auto* e = std::get_if<ClaimExists>(&reply)) {
                    ok = e->current.record == record ||
                         e->current.record.holder != record.holder;
                  }
                  Submit(entry, event::OutcomeWritten{write.id, ok});
                });
          },
          [&](const action::AskClaimHolder& query) {
            const auto peer = EntryAt(query.peer_address);
            const bool reachable =
                peer.has_value() && entries[*peer].alive &&
                !entries[*peer].frozen &&
                Connected(entries[entry].domain, entries[*peer].domain);
            HolderAnswer response;
            if (reachable)
              response = entries[*peer].node->QueryHolder(query.holder);
            if (!reachable && naive_takeover) {
              response.word = HolderWord::kNeverRuns;
            }
            At(reachable ? 2 * network_delay : kPeerTimeout,
               [this, entry, id = query.id, response] {
                 Submit(entry, event::HolderReplied{id, response});
               });
          },
          [&](const action::SendHeartbeat& send) {
            SendToPeer(entry, send.message.address,
                       event::HeartbeatReceived{send.message.heartbeat});
          },
          [&](const action::SendUpstreamNotice& send) {
            SendToPeer(entry, send.address,
                       event::UpstreamNoticed{send.upstream, send.state,
                                              send.remaining, "peer"});
          },
          [&](const action::HandOver& hand_off) {
            // An entry process stops the stream and reports how many tokens it
            // delivered.
            HandedOverRequest request = hand_off.request;
            for (const auto& attempt : attempts_) {
              if (attempt->id != request.id || attempt->ended) continue;
              EndAttempt(attempt, AttemptEnd::kInterrupted);
              request.delivered_tokens = attempt->first_token;
            }
            SendToPeer(entry, hand_off.address,
                       event::HandOverReceived{request});
          },
          [&](const action::DrainCompleted&) { entries[entry].alive = false; }},
      action);
}

void VirtualWorld::RunDispatch(std::size_t entry,
                               const action::Dispatch& dispatch) {
  const auto found = std::find_if(
      upstreams.begin(), upstreams.end(),
      [&](const auto& u) { return u.info.id == dispatch.upstream; });
  const auto index = static_cast<std::size_t>(found - upstreams.begin());
  const auto attempt = std::make_shared<RunningAttempt>();
  attempt->entry = entry;
  attempt->id = dispatch.id;
  attempt->attempt = dispatch.attempt;
  attempt->upstream = index;
  attempt->is_service = dispatch.kind == WorkKind::kService;
  attempt->first_token = dispatch.resume.delivered_tokens;
  const RequestSpec& spec = specs_[dispatch.id];
  attempt->last_token = spec.max_tokens;
  attempts_.push_back(attempt);
  At(network_delay, [this, attempt, index, dispatch] {
    FakeUpstream& upstream = upstreams[index];
    const RequestSpec& request = specs_[attempt->id];
    const bool reachable =
        Connected(entries[attempt->entry].domain, upstream.info.domain);
    if (!upstream.alive || !reachable) {
      EndAttempt(attempt, AttemptEnd::kNotSent);
      return;
    }
    ++upstream.running;
    ++upstream.executions;
    executions.push_back(
        {attempt->id, request.idempotency_key, upstream.info.id.name, now_});
    if (upstream.poison != nullptr &&
        upstream.poison->count(request.fingerprint) > 0) {
      At(network_delay, [this, index] { CrashUpstream(index); });
      return;
    }
    if (attempt->is_service) {
      At(service_time,
         [this, attempt] { EndAttempt(attempt, AttemptEnd::kCompleted); });
      return;
    }
    std::size_t cached_blocks = 0;
    for (const std::uint64_t prefix : request.prefix_hashes) {
      if (upstream.cached_prefixes.count(prefix) == 0) break;
      ++cached_blocks;
    }
    upstream.cached_prefixes.insert(request.prefix_hashes.begin(),
                                    request.prefix_hashes.end());
    attempt->cached = std::min(
        request.prompt_tokens,
        static_cast<std::int64_t>(cached_blocks) * Router::kPrefixBlockTokens);
    const std::int64_t needed =
        request.prompt_tokens + attempt->first_token - attempt->cached;
    const bool cache_transferred = !dispatch.resume.kv_source.empty();
    const std::int64_t computed = cache_transferred ? 0 : needed;
    computed_tokens += computed;
    if (attempt->first_token > 0 || dispatch.attempt > 1) {
      attempt->recomputed = computed;
      recomputed_tokens += computed;
    }
    // Requests beyond the slot count slow down all requests of the upstream.
    const double contention = std::max(
        1.0, static_cast<double>(upstream.running) / upstream.info.slots);
    const double total_slowdown = upstream.slowdown * contention;
    const Duration prefill =
        FromSeconds(static_cast<double>(computed) /
                    upstream.prefill_tokens_per_s * total_slowdown);
    attempt->pace =
        FromSeconds(ToSeconds(upstream.between_tokens) * total_slowdown);
    attempt->first_token_at = now_ + prefill;
    At(prefill + network_delay, [this, attempt] {
      if (!attempt->ended) {
        Submit(attempt->entry,
               event::FirstToken{attempt->id, attempt->attempt});
      }
    });
    const std::int64_t remaining = attempt->last_token - attempt->first_token;
    At(prefill + attempt->pace * remaining + network_delay,
       [this, attempt] { EndAttempt(attempt, AttemptEnd::kCompleted); });
  });
}

void VirtualWorld::EndAttempt(const std::shared_ptr<RunningAttempt>& attempt,
                              AttemptEnd end) {
  if (attempt->ended) return;
  attempt->ended = true;
  if (end != AttemptEnd::kNotSent) --upstreams[attempt->upstream].running;
  std::int64_t delivered = attempt->first_token;
  if (end == AttemptEnd::kCompleted) delivered = attempt->last_token;
  const bool truncated =
      end == AttemptEnd::kInterrupted || end == AttemptEnd::kBroken;
  if (truncated && attempt->pace.count() > 0 &&
      now_ > attempt->first_token_at) {
    delivered = std::min(attempt->last_token - 1,
                         attempt->first_token +
                             (now_ - attempt->first_token_at) / attempt->pace);
  }
  computed_tokens += delivered - attempt->first_token;
  attempt->first_token = delivered;
  event::AttemptEnded ended;
  ended.id = attempt->id;
  ended.attempt = attempt->attempt;
  ended.end = end;
  ended.http_status = 200;
  ended.delivered_tokens = delivered;
  ended.cached_tokens = attempt->cached;
  ended.recomputed_tokens = attempt->recomputed;
  ended.between_tokens = attempt->pace;
  if (attempt->is_service) {
    ended.answer = KeptAnswer{"application/json", ToString(attempt->id)};
  }
  Submit(attempt->entry, ended);
}

void VirtualWorld::CrashUpstream(std::size_t index) {
  if (!upstreams[index].alive) return;
  upstreams[index].alive = false;
  const auto running = attempts_;
  for (const auto& attempt : running) {
    if (attempt->upstream == index && !attempt->ended) {
      EndAttempt(attempt, AttemptEnd::kBroken);
    }
  }
}

void VirtualWorld::RunClaimWrite(
    std::size_t entry, const std::string& key, const WriteClaim& write,
    const std::function<void(const ClaimReply&)>& on_reply) {
  const std::string& domain = entries[entry].domain;
  At(kv.latency, [this, key, write, on_reply, domain] {
    if (kv.down || !Connected(domain, "kv")) {
      At(kKvTimeout, [on_reply] { on_reply(ClaimNoAnswer{}); });
      return;
    }
    ClaimBatch batch;
    batch.Add(key, write);
    KvTxnReply reply;
    const auto found = kv.entries.find(key);
    const std::int64_t revision =
        found == kv.entries.end() ? 0 : found->second.second;
    reply.succeeded = revision == write.expected_revision;
    if (reply.succeeded) {
      if (random_() % 2 == 0) kv.past = kv.entries;
      ++kv.writes;
      kv.entries[key] = {ToJson(write.record), ++kv.revision};
    } else if (found != kv.entries.end()) {
      reply.current.push_back({key, found->second.first, revision});
    }
    reply.revision = kv.revision;
    batch.OnReply(reply);
    const bool response_lost =
        std::uniform_real_distribution<>(0, 1)(random_) < kv.lose_answer;
    const ClaimReply result = response_lost ? ClaimReply(ClaimNoAnswer{})
                                            : *batch.claims().front().reply;
    At(response_lost ? kKvTimeout : kv.latency,
       [on_reply, result] { on_reply(result); });
  });
}

void VirtualWorld::RunClaimRead(
    std::size_t entry, const std::string& key,
    const std::function<void(const ClaimReply&)>& on_reply) {
  const std::string& domain = entries[entry].domain;
  At(kv.latency, [this, key, on_reply, domain] {
    if (kv.down || !Connected(domain, "kv")) {
      At(kKvTimeout, [on_reply] { on_reply(ClaimNoAnswer{}); });
      return;
    }
    const bool stale =
        std::uniform_real_distribution<>(0, 1)(random_) < kv.stale_read;
    const auto& source = stale ? kv.past : kv.entries;
    std::optional<KvEntry> entry_read;
    const auto found = source.find(key);
    if (found != source.end()) {
      entry_read = KvEntry{key, found->second.first, found->second.second};
    }
    const ClaimReply result =
        ToClaimReply(Result<std::optional<KvEntry>>(entry_read));
    At(kv.latency, [on_reply, result] { on_reply(result); });
  });
}

std::optional<std::size_t> VirtualWorld::EntryAt(
    const std::string& address) const {
  for (std::size_t i = 0; i < entries.size(); ++i) {
    if (AddressOf(entries[i].name) == address) return i;
  }
  return std::nullopt;
}

void VirtualWorld::SendToPeer(std::size_t from, const std::string& address,
                              const EntryEvent& event) {
  const auto peer = EntryAt(address);
  if (!peer.has_value()) return;
  if (!Connected(entries[from].domain, entries[*peer].domain)) return;
  At(network_delay, [this, peer, event] { Submit(*peer, event); });
}

Tables MakeTables(const std::vector<std::string>& customers) {
  Tables tables;
  tables.version = 1;
  for (const std::string& name : customers) {
    tables.customers.push_back({name, Sha256Hex(name), 1, 100'000'000});
  }
  tables.ranks[0] = {std::chrono::milliseconds(910),
                     std::chrono::milliseconds(44), 0};
  tables.ranks[1] = {std::chrono::seconds(3), std::chrono::milliseconds(60),
                     0.1};
  tables.ranks[2] = {std::chrono::seconds(30), std::chrono::milliseconds(200),
                     0.05};
  for (std::size_t i = 0; i < kRankCount; ++i) {
    Route route;
    route.name = ToString(static_cast<Rank>(i));
    route.model = "model";
    route.rank = static_cast<Rank>(i);
    route.pool = "models";
    tables.routes.push_back(route);
  }
  Route orders;
  orders.name = "orders";
  orders.kind = WorkKind::kService;
  orders.rank = Rank::kUrgent;
  orders.pool = "services";
  orders.idempotent = false;
  orders.key_retention = std::chrono::hours(24);
  tables.routes.push_back(orders);
  tables.pools.push_back({"models", WorkKind::kModel, "model", {}});
  tables.pools.push_back({"services", WorkKind::kService, "", {}});
  return tables;
}

RequestSpec MakeSpec(const std::string& customer, Rank rank,
                     std::int64_t prompt_tokens, std::int64_t max_tokens) {
  RequestSpec spec;
  spec.customer = customer;
  spec.model = "model";
  spec.rank = rank;
  spec.stream = true;
  spec.prompt_tokens = prompt_tokens;
  spec.max_tokens = max_tokens;
  static std::uint64_t next_fingerprint = 1;
  spec.fingerprint = {0, next_fingerprint++};
  return spec;
}

RequestSpec MakeOrder(const std::string& customer, const std::string& key,
                      const std::string& body) {
  RequestSpec spec;
  spec.customer = customer;
  spec.kind = WorkKind::kService;
  spec.route = "orders";
  spec.idempotency_key = key;
  spec.body_sha256 = Sha256Hex(body);
  spec.fingerprint = FingerprintOf({key, body});
  return spec;
}

}  // namespace pollenledge::testing
