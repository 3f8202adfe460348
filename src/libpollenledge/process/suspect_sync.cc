#include "pollenledge/process/suspect_sync.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

#include "pollenledge/process/log.h"

namespace pollenledge {

SuspectSync::SuspectSync(boost::asio::io_context& loop, AsyncStore* store,
                         std::string key, WallClock now,
                         ReportsCallback on_reports)
    : store_(store),
      key_(std::move(key)),
      now_(std::move(now)),
      on_reports_(std::move(on_reports)),
      timer_(loop) {
  store->OnRestored([this] { OnRestored(); });
}

void SuspectSync::Start() { Read(); }

void SuspectSync::OnRestored() {
  local_crashes_ = MergeSuspects(local_crashes_, stored_crashes_, now_());
  if (local_crashes_.empty()) return;
  dirty_ = true;
  if (!busy_) Read();
}

void SuspectSync::ReadNow() {
  read_requested_ = busy_;
  if (!busy_) Read();
}

void SuspectSync::Read() {
  busy_ = true;
  read_requested_ = false;
  store_->Read(key_, [this](const Result<StoreItem>& item) { OnRead(item); });
}

void SuspectSync::OnRead(const Result<StoreItem>& item) {
  if (!Ok(item)) {
    OnReadFailed(ErrorOf(item));
    return;
  }
  const std::optional<KvEntry>& entry = Value(item).entry;
  revision_ = entry.has_value() ? entry->mod_revision : 0;
  Result<std::vector<StoredCrash>> stored =
      DecodeSuspects(entry.has_value() ? entry->value : "");
  if (!Ok(stored)) {
    // The document is overwritten when the next request becomes rejected.
    Log(LogLevel::kError, "suspects_unreadable",
        {{"error", ErrorOf(stored).message}});
    stored = std::vector<StoredCrash>();
  }
  const std::vector<StoredCrash> found =
      MergeSuspects(Value(stored), {}, now_());
  const std::vector<StoredCrash> fresh = NewCrashes(found);
  stored_crashes_ = found;
  busy_ = false;
  failed_reads_ = 0;
  if (!initial_reports_delivered_ || !fresh.empty()) {
    initial_reports_delivered_ = true;
    Log(LogLevel::kInfo, "suspects_read",
        {{"crashes", std::to_string(stored_crashes_.size())},
         {"new", std::to_string(fresh.size())},
         {"revision", std::to_string(revision_)}});
    on_reports_(ToReports(fresh, now_()));
  }
  if (dirty_ && !busy_) Write();
}

std::vector<StoredCrash> SuspectSync::NewCrashes(
    const std::vector<StoredCrash>& stored) const {
  std::set<std::pair<Fingerprint, CrashId>> known;
  for (const auto* list : {&stored_crashes_, &local_crashes_}) {
    for (const StoredCrash& crash : *list) {
      known.emplace(crash.fingerprint, crash.crash);
    }
  }
  std::vector<StoredCrash> fresh;
  std::copy_if(stored.begin(), stored.end(), std::back_inserter(fresh),
               [&known](const StoredCrash& crash) {
                 return known.count({crash.fingerprint, crash.crash}) == 0;
               });
  return fresh;
}

void SuspectSync::OnReadFailed(const Error& error) {
  ++failed_reads_;
  if (!initial_reports_delivered_ &&
      failed_reads_ * kRetryInterval >= kStartupReadTimeout) {
    initial_reports_delivered_ = true;
    Log(LogLevel::kWarn, "suspects_unknown", {{"error", error.message}});
    on_reports_({});
  }
  timer_.expires_after(initial_reports_delivered_ ? kWriteInterval
                                                  : kRetryInterval);
  timer_.async_wait([this](const boost::system::error_code& failed) {
    if (!failed) Read();
  });
}

void SuspectSync::AddCrashes(const std::vector<CrashReport>& crashes) {
  local_crashes_ =
      MergeSuspects(local_crashes_, ToStoredCrashes(crashes, now_()), now_());
  dirty_ = true;
  if (!busy_) Write();
}

void SuspectSync::Write() {
  const std::vector<StoredCrash> merged =
      MergeSuspects(stored_crashes_, local_crashes_, now_());
  dirty_ = false;
  if (merged == stored_crashes_) return;
  busy_ = true;
  StoreTransaction transaction;
  transaction.writes = {{.key = key_,
                         .value = EncodeSuspects(merged),
                         .expected_revision = revision_}};
  store_->Commit(transaction,
                 [this](const Result<KvTxnReply>& reply) { OnWritten(reply); });
}

void SuspectSync::OnWritten(const Result<KvTxnReply>& reply) {
  const bool written = Ok(reply) && Value(reply).succeeded;
  Log(written ? LogLevel::kInfo : LogLevel::kWarn, "suspects_written",
      {{"outcome", !Ok(reply) ? ErrorOf(reply).message
                   : written  ? "done"
                              : "another node was first"}});
  dirty_ = dirty_ || !written;
  // After a failed write, the document is read again, which shows whether the
  // write took effect or another node wrote first. The delay limits the rate of
  // store calls.
  timer_.expires_after(written ? kWriteInterval : kRetryInterval);
  timer_.async_wait([this](const boost::system::error_code& failed) {
    if (failed) return;
    busy_ = false;
    if (dirty_ || read_requested_) Read();
  });
  if (written) {
    stored_crashes_ = MergeSuspects(stored_crashes_, local_crashes_, now_());
    revision_ = Value(reply).revision;
  }
}

}  // namespace pollenledge
