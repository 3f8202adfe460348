#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "pollenledge/process/entry_node.h"

namespace pollenledge::testing {

// Fakes at the interfaces of EntryNode, in virtual time: a key-value service,
// upstreams and a network between entries. Tests inject faults by the public
// fields and by `before_action`.

struct FakeKv {
  bool down = false;
  Duration latency{std::chrono::milliseconds(2)};
  double lose_answer = 0;  // Probability that an answer is lost.
  double stale_read = 0;   // Probability that a read shows the past.
  std::map<std::string, std::pair<std::string, std::int64_t>> entries;
  std::map<std::string, std::pair<std::string, std::int64_t>> past;
  std::int64_t revision = 0;
  std::int64_t writes = 0;
};

struct FakeUpstream {
  UpstreamInfo info;
  bool alive = true;
  double prefill_tokens_per_s = 8000;
  Duration between_tokens{std::chrono::milliseconds(20)};
  double slowdown = 1;
  int running = 0;
  // Fingerprints whose requests kill the upstream.
  std::set<Fingerprint>* poison = nullptr;
  int executions = 0;
  std::set<std::uint64_t> cached_prefixes;
};

struct FakeEntry {
  std::unique_ptr<EntryNode> node;
  std::string name;
  std::string domain;
  bool alive = true;
  bool frozen = false;
  std::vector<EntryEvent> held;  // Arrived while frozen.
};

struct RecordedAnswer {
  RequestId id;
  std::size_t entry = 0;
  TimePoint at;
  std::optional<Outcome> outcome;  // Absent for a replay.
  std::optional<ClaimRecord> replayed;
};

// One attempt that reached an upstream.
struct RecordedExecution {
  RequestId id;
  std::string key;
  std::string upstream;
  TimePoint at;
};

class VirtualWorld {
 public:
  explicit VirtualWorld(std::uint64_t seed);

  FakeKv kv;
  std::vector<FakeEntry> entries;
  std::vector<FakeUpstream> upstreams;
  std::vector<RecordedAnswer> answers;
  std::vector<RecordedExecution> executions;
  std::set<std::pair<std::string, std::string>> cuts;  // Pairs of domains.
  Duration network_delay{std::chrono::milliseconds(1)};
  Duration report_interval{std::chrono::milliseconds(500)};
  Duration report_lag{std::chrono::milliseconds(250)};
  Duration service_time{std::chrono::milliseconds(50)};
  std::int64_t recomputed_tokens = 0;
  std::int64_t computed_tokens = 0;
  // A takeover as a naive system would do it: a claim whose holder cannot be
  // reached is free. For showing that a check can fail.
  bool naive_takeover = false;
  // Called before an action is carried out; false drops it.
  std::function<bool(std::size_t entry, const EntryAction&)> before_action;

  std::size_t AddEntry(const std::string& name, const std::string& domain);
  std::size_t AddUpstream(const std::string& pool, const std::string& domain,
                          std::int64_t price_micros, int slots);
  // Gives all entries the tables, the upstream list and each other.
  void Start(const Tables& tables);
  void PublishList();

  Instant now() const { return {now_, WallTime(now_.time_since_epoch())}; }
  std::mt19937_64& random() { return random_; }
  void At(Duration delay, std::function<void()> job);
  void RunFor(Duration duration);

  // Sends an event to an entry now.
  void Submit(std::size_t entry, const EntryEvent& event);
  // A request that arrives now; returns its id.
  RequestId Arrive(std::size_t entry, const RequestSpec& spec);

  // What an entry's process does with an action.
  void CarryOut(std::size_t entry, const EntryAction& action);
  void Kill(std::size_t entry);
  void Freeze(std::size_t entry);
  void Thaw(std::size_t entry);
  void KillUpstream(std::size_t upstream);
  bool Connected(const std::string& a, const std::string& b) const;

  // Answers to requests of one id; at most one is right.
  std::vector<RecordedAnswer> AnswersTo(const RequestId& id) const;
  std::size_t ExecutionsOf(const std::string& key) const;
  std::size_t ExecutionsOf(const RequestId& id) const;

 private:
  struct Job {
    TimePoint at;
    std::uint64_t order;
    std::function<void()> run;
    bool operator<(const Job& other) const {
      return at != other.at ? at > other.at : order > other.order;
    }
  };
  struct RunningAttempt {
    std::size_t entry;
    RequestId id;
    std::uint32_t attempt;
    std::size_t upstream;
    std::int64_t first_token;
    std::int64_t last_token;
    std::int64_t recomputed;
    std::int64_t cached;
    TimePoint first_token_at;
    Duration pace;
    bool is_service;
    bool ended = false;
  };

  void Tick(std::size_t entry);
  void ReportLoads();
  void RunDispatch(std::size_t entry, const action::Dispatch& dispatch);
  void EndAttempt(const std::shared_ptr<RunningAttempt>& attempt,
                  AttemptEnd end);
  void CrashUpstream(std::size_t upstream);
  void RunClaimWrite(std::size_t entry, const std::string& key,
                     const WriteClaim& write,
                     const std::function<void(const ClaimReply&)>& done);
  void RunClaimRead(std::size_t entry, const std::string& key,
                    const std::function<void(const ClaimReply&)>& done);
  std::optional<std::size_t> EntryAt(const std::string& address) const;
  void SendToPeer(std::size_t from, const std::string& address,
                  const EntryEvent& event);

  TimePoint now_{std::chrono::seconds(1000)};
  std::uint64_t next_order_ = 0;
  std::priority_queue<Job> jobs_;
  std::mt19937_64 random_;
  std::map<RequestId, RequestSpec> specs_;
  std::vector<std::shared_ptr<RunningAttempt>> attempts_;
};

// Tables with one model route of each rank on `pool`, one at-most-once service
// route "orders" on pool "services", and `customers` without a tight limit.
Tables MakeTables(const std::vector<std::string>& customers);

// A model request of `customer`.
RequestSpec MakeSpec(const std::string& customer, Rank rank,
                     std::int64_t prompt_tokens, std::int64_t max_tokens);
// A call of the route "orders".
RequestSpec MakeOrder(const std::string& customer, const std::string& key,
                      const std::string& body = "body");

}  // namespace pollenledge::testing
