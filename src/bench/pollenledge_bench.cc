// Benchmarks of the decision logic: time and allocations for all decisions on
// one request, and how state and work grow with the size of the fleet. The
// capacity estimates of docs/CAPACITY.md are based on them.

#include <benchmark/benchmark.h>
#include <capnp/message.h>
#include <capnp/serialize.h>
#include <malloc.h>

#include "allocation_count.h"
#include "heartbeat_codec.h"
#include "pollenledge/process/entry_node.h"
#include "virtual_world.h"
#include "wire_codec.h"

namespace pollenledge {
namespace {

using testing::MakeModelRequest;
using testing::MakeTables;

// The instant `since_start` after an arbitrary start time.
Instant At(Duration since_start) {
  const TimePoint now(std::chrono::seconds(1000) + since_start);
  return {now, WallTime(now.time_since_epoch())};
}

// Bytes allocated from malloc according to its own statistics, including large
// blocks that it maps separately.
std::size_t AllocatedBytes() {
  const auto info = mallinfo2();
  return info.uordblks + info.hblkhd;
}

std::vector<UpstreamInfo> MakeUpstreams(std::int64_t count) {
  std::vector<UpstreamInfo> list;
  for (std::int64_t i = 0; i < count; ++i) {
    const std::string name = "runner-" + std::to_string(i);
    const std::string domain = "domain-" + std::to_string(i % 14);
    list.push_back({{name, 1},
                    "10.0.0.1:8000",
                    "models",
                    domain,
                    "l4",
                    true,
                    200'000 + 50'000 * (i % 4),
                    8});
  }
  return list;
}

MemberRecord MakeMember(std::int64_t index, std::uint64_t heartbeat) {
  MemberRecord record;
  record.id = {"entry-" + std::to_string(index), 1'700'000'000'000};
  record.heartbeat = heartbeat;
  record.domain = "domain-" + std::to_string(index % 14);
  record.peer_address = "10.10.20.30:7002";
  record.admin_address = "10.10.20.30:7003";
  record.tables_version = 78'000;
  for (int i = 0; i < 5; ++i) {
    record.demands.push_back({"customer-" + std::to_string(i), 1000});
  }
  return record;
}

// An entry that knows `upstreams` upstreams with load reports and `members`
// entries, itself included.
std::unique_ptr<EntryNode> MakeNode(std::int64_t upstreams,
                                    std::int64_t members) {
  EntryOptions options;
  options.self = MakeMember(0, 1);
  options.self.id.name = "self";
  options.time_line_capacity = 8192;
  auto node = std::make_unique<EntryNode>(options);
  node->Handle(event::TablesActivated{std::make_shared<const Tables>(
                   MakeTables({"a", "b", "c", "d", "e"}))},
               At(Duration(0)));
  const std::vector<UpstreamInfo> list = MakeUpstreams(upstreams);
  node->Handle(event::UpstreamListReceived{list}, At(Duration(1)));
  LoadReport report;
  report.running = 2;
  report.prefill_tokens_per_s = 8000;
  report.inter_token_latency_ms = 20;
  for (const UpstreamInfo& info : list) {
    node->Handle(event::LoadReported{info.id, report}, At(Duration(2)));
  }
  for (std::int64_t i = 1; i < members; ++i) {
    node->Handle(event::HeartbeatReceived{{.records = {MakeMember(i, 1)}}},
                 At(Duration(3)));
  }
  return node;
}

// Admission, routing, dispatch, first token and completion of one request, by
// the number of known upstreams. Counts the allocations per request.
void WholeDecision(benchmark::State& state) {
  const auto node = MakeNode(state.range(0), 7);
  RequestSpec spec = MakeModelRequest("a", Rank::kUrgent, 200, 100);
  spec.prefix_hashes = {1, 2, 3};
  std::int64_t now_us = 1000;
  std::size_t allocation_count = 0;
  for (auto _ : state) {
    now_us += 1000;
    const std::size_t before = bench::AllocationCount();
    const RequestId id = node->NextRequestId();
    const auto actions =
        node->Handle(event::RequestArrived{id, spec}, At(Duration(now_us)));
    if (actions.size() != 1 ||
        !std::holds_alternative<action::Dispatch>(actions[0])) {
      state.SkipWithError("the request was not dispatched at once");
      break;
    }
    node->Handle(event::FirstTokenReceived{id, 1}, At(Duration(now_us + 300)));
    event::AttemptFinished ended;
    ended.id = id;
    ended.attempt = 1;
    ended.result = AttemptOutcome::kCompleted;
    ended.http_status = 200;
    ended.delivered_tokens = 100;
    node->Handle(ended, At(Duration(now_us + 900)));
    allocation_count += bench::AllocationCount() - before;
  }
  state.counters["allocations"] =
      benchmark::Counter(static_cast<double>(allocation_count),
                         benchmark::Counter::kAvgIterations);
}
BENCHMARK(WholeDecision)->Arg(22)->Arg(1200)->Arg(12'000);

// Receipt of one heartbeat message with the maximum number of records, by the
// number of known entries.
void ReceiveHeartbeat(benchmark::State& state) {
  const auto node = MakeNode(22, state.range(0));
  std::uint64_t heartbeat_number = 2;
  std::int64_t next = 1;
  for (auto _ : state) {
    event::HeartbeatReceived message;
    for (std::size_t i = 0; i < HeartbeatOptions().records_per_message; ++i) {
      message.heartbeat.records.push_back(MakeMember(next, heartbeat_number));
      if (++next >= state.range(0)) {
        next = 1;
        ++heartbeat_number;
      }
    }
    node->Handle(message, At(Duration(10)));
  }
}
BENCHMARK(ReceiveHeartbeat)->Arg(10)->Arg(100)->Arg(360);

// One tick at which heartbeats are due, by the number of known entries. Updates
// the member records, the limit shares and the queues.
void TickWithHeartbeats(benchmark::State& state) {
  const auto node = MakeNode(22, state.range(0));
  Duration time = std::chrono::seconds(1);
  for (auto _ : state) {
    time += Membership::kDefaultPeriod;
    benchmark::DoNotOptimize(node->Handle(event::TimerTicked{}, At(time)));
  }
}
BENCHMARK(TickWithHeartbeats)->Arg(10)->Arg(100)->Arg(360);

// Applies the complete upstream list of the platform, by its length. The list
// is unchanged.
void ReadUpstreamList(benchmark::State& state) {
  const auto node = MakeNode(state.range(0), 7);
  const event::UpstreamListReceived listed{MakeUpstreams(state.range(0))};
  for (auto _ : state) {
    node->Handle(listed, At(std::chrono::seconds(1)));
  }
}
BENCHMARK(ReadUpstreamList)
    ->Arg(22)
    ->Arg(1200)
    ->Arg(12'000)
    ->Unit(benchmark::kMillisecond);

// Applies one load report, by the number of known upstreams.
void ReceiveLoadReport(benchmark::State& state) {
  const auto node = MakeNode(state.range(0), 7);
  const std::vector<UpstreamInfo> list = MakeUpstreams(state.range(0));
  LoadReport report;
  report.running = 3;
  std::size_t next = 0;
  for (auto _ : state) {
    node->Handle(event::LoadReported{list[next].id, report},
                 At(std::chrono::seconds(1)));
    next = (next + 1) % list.size();
  }
}
BENCHMARK(ReceiveLoadReport)->Arg(22)->Arg(1200)->Arg(12'000);

// Parses and validates tables, by the number of routes and pools.
void ParseTablesOfSize(benchmark::State& state) {
  std::string routes = "customers: []\nroutes:\n";
  std::string pools = "domains: [d]\npools:\n";
  for (std::int64_t i = 0; i < state.range(0); ++i) {
    const std::string n = std::to_string(i);
    routes += "  - {name: r" + n + ", model: m" + n + ", pool: p" + n + "}\n";
    pools += "  - {name: p" + n + ", model: m" + n +
             ", members: [{domain: d, class: l4, price_per_hour: 1}]}\n";
  }
  for (auto _ : state) {
    benchmark::DoNotOptimize(ParseTables({routes, pools}, 1));
  }
  state.counters["document_bytes"] =
      static_cast<double>(routes.size() + pools.size());
}
BENCHMARK(ParseTablesOfSize)
    ->Arg(10)
    ->Arg(100)
    ->Arg(500)
    ->Unit(benchmark::kMillisecond);

// Memory allocated for the state of a node, by the numbers of known upstreams
// and entries.
void StateBytes(benchmark::State& state) {
  double allocated_bytes = 0;
  for (auto _ : state) {
    const auto before = AllocatedBytes();
    const auto node = MakeNode(state.range(0), state.range(1));
    allocated_bytes = static_cast<double>(AllocatedBytes() - before);
  }
  state.counters["bytes"] = allocated_bytes;
}
BENCHMARK(StateBytes)
    ->Args({22, 7})
    ->Args({1200, 7})
    ->Args({12'000, 7})
    ->Args({22, 100})
    ->Args({22, 360})
    ->Args({12'000, 360})
    ->Iterations(1);

// Memory allocated per request in progress, by the number of requests.
void RequestBytes(benchmark::State& state) {
  double allocated_bytes = 0;
  for (auto _ : state) {
    const auto node = MakeNode(1200, 7);
    const auto before = AllocatedBytes();
    for (std::int64_t i = 0; i < state.range(0); ++i) {
      RequestSpec spec = MakeModelRequest("a", Rank::kBackground, 200, 100);
      spec.prefix_hashes = {1, 2, 3};
      node->Handle(event::RequestArrived{node->NextRequestId(), spec},
                   At(Duration(1000 + i)));
    }
    allocated_bytes = static_cast<double>(AllocatedBytes() - before);
  }
  state.counters["bytes_each"] =
      allocated_bytes / static_cast<double>(state.range(0));
}
BENCHMARK(RequestBytes)->Arg(100)->Arg(1000)->Arg(4000)->Iterations(1);

// Encoded size in bytes of one heartbeat message with the maximum number of
// records.
void HeartbeatBytes(benchmark::State& state) {
  double bytes = 0;
  for (auto _ : state) {
    capnp::MallocMessageBuilder message;
    auto params = message.initRoot<wire::Peer::HeartbeatParams>();
    Heartbeat heartbeat;
    for (std::size_t i = 0; i < HeartbeatOptions().records_per_message; ++i) {
      heartbeat.records.push_back(MakeMember(static_cast<std::int64_t>(i), 1));
    }
    ToWire(heartbeat, params.initHeartbeat());
    bytes = static_cast<double>(
        capnp::messageToFlatArray(message).asBytes().size());
  }
  state.counters["bytes"] = bytes;
}
BENCHMARK(HeartbeatBytes)->Iterations(1);

}  // namespace
}  // namespace pollenledge

BENCHMARK_MAIN();
