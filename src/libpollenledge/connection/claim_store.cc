#include "pollenledge/connection/claim_store.h"

#include <utility>

namespace pollenledge {
namespace {

// The keys written during this interval share one lease. Its time to live is
// longer than the retention by the same amount, so that the last key written
// under it is also retained long enough.
constexpr Duration kLeaseSharingInterval = std::chrono::hours(1);

}  // namespace

ClaimStore::ClaimStore(KvClient client, Duration min_interval)
    : client_(std::move(client)),
      min_interval_(min_interval),
      thread_([this] { RunWorker(); }) {}

ClaimStore::~ClaimStore() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  wakeup_.notify_all();
  thread_.join();
  for (Job& job : jobs_) job.done(ClaimNoResponse{});
}

void ClaimStore::Write(const std::string& key, const WriteClaim& write,
                       Duration retention,
                       std::function<void(const ClaimReply&)> done) {
  Enqueue({key, write, retention, std::move(done)});
}

void ClaimStore::Read(const std::string& key,
                      std::function<void(const ClaimReply&)> done) {
  Enqueue({key, std::nullopt, Duration(0), std::move(done)});
}

void ClaimStore::Enqueue(Job job) {
  {
    const std::lock_guard lock(mutex_);
    jobs_.push_back(std::move(job));
  }
  wakeup_.notify_one();
}

void ClaimStore::RunWorker() {
  while (true) {
    std::vector<Job> jobs = DequeueJobs();
    if (jobs.empty()) return;
    const auto started = std::chrono::steady_clock::now();
    RunReads(&jobs);
    RunWrites(std::move(jobs));
    std::unique_lock lock(mutex_);
    wakeup_.wait_until(lock, started + min_interval_,
                       [this] { return stopping_; });
  }
}

std::vector<ClaimStore::Job> ClaimStore::DequeueJobs() {
  std::unique_lock lock(mutex_);
  wakeup_.wait(lock, [this] { return stopping_ || !jobs_.empty(); });
  if (stopping_) return {};
  std::vector<Job> jobs;
  while (!jobs_.empty() && jobs.size() < ClaimBatch::kMaxClaims) {
    jobs.push_back(std::move(jobs_.front()));
    jobs_.pop_front();
  }
  return jobs;
}

void ClaimStore::RunReads(std::vector<Job>* jobs) {
  std::vector<Job> writes;
  for (Job& job : *jobs) {
    if (job.write.has_value()) {
      writes.push_back(std::move(job));
    } else {
      job.done(ToClaimReply(client_.Read(job.key)));
    }
  }
  *jobs = std::move(writes);
}

void ClaimStore::RunWrites(std::vector<Job> jobs) {
  if (jobs.empty()) return;
  std::vector<Job> deferred;
  ClaimBatch batch;
  std::vector<Job> batched;
  for (Job& job : jobs) {
    const std::optional<std::int64_t> lease = LeaseForRetention(job.retention);
    if (!lease.has_value()) {
      job.done(ClaimNoResponse{});
    } else if (batch.Add(job.key, *job.write, *lease)) {
      batched.push_back(std::move(job));
    } else {
      deferred.push_back(std::move(job));
    }
  }
  for (std::vector<KvWrite> writes = batch.NextTransaction(); !writes.empty();
       writes = batch.NextTransaction()) {
    batch.OnReply(client_.Write(writes));
  }
  for (std::size_t i = 0; i < batched.size(); ++i) {
    batched[i].done(*batch.claims()[i].reply);
  }
  RunWrites(std::move(deferred));
}

std::optional<std::int64_t> ClaimStore::LeaseForRetention(Duration retention) {
  const auto now = std::chrono::steady_clock::now();
  Lease& lease = leases_[retention];
  if (lease.id != 0 && now - lease.granted_at < kLeaseSharingInterval)
    return lease.id;
  const Result<std::int64_t> granted =
      client_.GrantLease(retention + kLeaseSharingInterval);
  if (!Ok(granted)) return std::nullopt;
  lease = {Value(granted), now};
  return lease.id;
}

bool OutcomeIsRecorded(const ClaimReply& reply, const ClaimRecord& record) {
  if (std::holds_alternative<ClaimWritten>(reply)) return true;
  const auto* exists = std::get_if<ClaimExists>(&reply);
  if (exists == nullptr) return std::holds_alternative<ClaimAbsent>(reply);
  // If the key has another owner, this owner's claim was released before, and
  // there is no outcome left to write.
  return exists->current.record == record ||
         exists->current.record.owner != record.owner;
}

}  // namespace pollenledge
