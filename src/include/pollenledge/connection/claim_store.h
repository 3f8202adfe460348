#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <thread>

#include "pollenledge/connection/kv_client.h"
#include "pollenledge/process/claim_batch.h"
#include "pollenledge/process/entry_events.h"
#include "pollenledge/time.h"

namespace pollenledge {

/// Reads and writes claims in the key-value service and batches the writes.
///
/// Writes that arrive while a transaction is in progress are queued and sent
/// together in the next one. The rate of calls is therefore bounded by the
/// service's latency and by `min_interval`, regardless of the request rate. A
/// write that arrives while the store is idle is sent immediately.
///
/// Owns a worker thread, on which each job's callback is invoked exactly once.
/// Thread-safe.
class ClaimStore {
 public:
  /// `min_interval` is the minimum time between the starts of two batches.
  ClaimStore(KvClient client, Duration min_interval);
  /// Completes the queued jobs with `ClaimNoResponse`.
  ~ClaimStore();

  ClaimStore(const ClaimStore&) = delete;
  ClaimStore& operator=(const ClaimStore&) = delete;

  /// Creates or replaces the claim record of `key`. A lease keeps the record
  /// for at least `retention`.
  void Write(const std::string& key, const WriteClaim& write,
             Duration retention, std::function<void(const ClaimReply&)> done);
  /// Reads the claim record of `key`.
  void Read(const std::string& key,
            std::function<void(const ClaimReply&)> done);

 private:
  struct Job {
    std::string key;
    std::optional<WriteClaim> write;  ///< Absent for a read.
    Duration retention{0};
    std::function<void(const ClaimReply&)> done;
  };

  void Enqueue(Job job);
  void RunWorker();
  std::vector<Job> DequeueJobs();
  void RunReads(std::vector<Job>* jobs);
  void RunWrites(std::vector<Job> jobs);
  std::optional<std::int64_t> LeaseForRetention(Duration retention);

  KvClient client_;
  const Duration min_interval_;
  std::mutex mutex_;
  std::condition_variable wakeup_;
  std::deque<Job> jobs_;
  bool stopping_ = false;
  struct Lease {
    std::int64_t id = 0;
    std::chrono::steady_clock::time_point granted_at;
  };
  std::map<Duration, Lease> leases_;  ///< By retention. Worker thread only.
  std::thread thread_;
};

/// Returns true if `reply`, received for writing the outcome in `record`, means
/// that no further write is needed: the record was written now or by an earlier
/// attempt whose reply was lost, or the claim is no longer this owner's.
bool OutcomeIsRecorded(const ClaimReply& reply, const ClaimRecord& record);

}  // namespace pollenledge
