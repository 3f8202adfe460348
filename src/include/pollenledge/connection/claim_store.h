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

/// Reads and writes claims at the key-value service, several writes in one
/// call.
///
/// While a transaction is on its way further writes gather, and go together in
/// the next one; so the rate of calls is bounded by the service's own pace and
/// by `min_interval`, whatever the rate of requests. A write without company
/// goes at once.
///
/// Each job's callback is called once, on the store's own thread. Thread-safe.
class ClaimStore {
 public:
  ClaimStore(KvClient client, Duration min_interval);
  /// Ends the waiting jobs without an answer.
  ~ClaimStore();

  ClaimStore(const ClaimStore&) = delete;
  ClaimStore& operator=(const ClaimStore&) = delete;

  /// `retention` is how long the record is kept, by a lease.
  void Write(const std::string& key, const WriteClaim& write,
             Duration retention, std::function<void(const ClaimReply&)> done);
  void Read(const std::string& key,
            std::function<void(const ClaimReply&)> done);

 private:
  struct Job {
    std::string key;
    std::optional<WriteClaim> write;  ///< Absent for a read.
    Duration retention{0};
    std::function<void(const ClaimReply&)> done;
  };

  void Add(Job job);
  void Work();
  std::vector<Job> TakeJobs();
  void RunReads(std::vector<Job>* jobs);
  void RunWrites(std::vector<Job> jobs);
  std::optional<std::int64_t> LeaseFor(Duration retention);

  KvClient client_;
  const Duration min_interval_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::deque<Job> jobs_;
  bool stopping_ = false;
  struct Lease {
    std::int64_t id = 0;
    std::chrono::steady_clock::time_point granted_at;
  };
  std::map<Duration, Lease> leases_;  ///< By retention; the thread's own.
  std::thread thread_;
};

/// True if the reply to an outcome's write means that the record holds it:
/// written now, or by an earlier try whose answer was lost.
bool OutcomeIsRecorded(const ClaimReply& reply, const ClaimRecord& record);

}  // namespace pollenledge
