#include "pollenledge/process/suspect_keeper.h"

#include <utility>

#include "pollenledge/process/log.h"

namespace pollenledge {

SuspectKeeper::SuspectKeeper(boost::asio::io_context& loop, AsyncStore* store,
                             std::string key, Now now, Submit on_reports)
    : store_(store),
      key_(std::move(key)),
      now_(std::move(now)),
      submit_(std::move(on_reports)),
      timer_(loop) {}

void SuspectKeeper::Start() { Read(); }

void SuspectKeeper::Read() {
  busy_ = true;
  store_->Read(key_, [this](const Result<StoreItem>& item) { OnRead(item); });
}

void SuspectKeeper::OnRead(const Result<StoreItem>& item) {
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
  stored_ = MergeSuspects(Value(stored), {}, now_());
  busy_ = false;
  failed_reads_ = 0;
  if (!submitted_ || !stored_.empty()) {
    submitted_ = true;
    Log(LogLevel::kInfo, "suspects_read",
        {{"crashes", std::to_string(stored_.size())},
         {"revision", std::to_string(revision_)}});
    submit_(ToReports(stored_, now_()));
  }
  if (dirty_) Write();
}

void SuspectKeeper::OnReadFailed(const Error& error) {
  ++failed_reads_;
  if (!submitted_ && failed_reads_ * kReadPause >= kPatience) {
    submitted_ = true;
    Log(LogLevel::kWarn, "suspects_unknown", {{"error", error.message}});
    submit_({});
  }
  timer_.expires_after(submitted_ ? kWritePause : kReadPause);
  timer_.async_wait([this](const boost::system::error_code& failed) {
    if (!failed) Read();
  });
}

void SuspectKeeper::Keep(const std::vector<CrashReport>& crashes) {
  own_ = MergeSuspects(own_, ToStored(crashes, now_()), now_());
  dirty_ = true;
  if (!busy_) Write();
}

void SuspectKeeper::Write() {
  const std::vector<StoredCrash> merged = MergeSuspects(stored_, own_, now_());
  dirty_ = false;
  if (merged == stored_) return;
  busy_ = true;
  StoreTransaction transaction;
  transaction.writes = {{.key = key_,
                         .value = EncodeSuspects(merged),
                         .expected_revision = revision_}};
  store_->Commit(transaction,
                 [this](const Result<KvTxnReply>& reply) { OnWritten(reply); });
}

void SuspectKeeper::OnWritten(const Result<KvTxnReply>& reply) {
  const bool written = Ok(reply) && Value(reply).succeeded;
  Log(written ? LogLevel::kInfo : LogLevel::kWarn, "suspects_written",
      {{"outcome", !Ok(reply) ? ErrorOf(reply).message
                   : written  ? "done"
                              : "another node was first"}});
  dirty_ = dirty_ || !written;
  // After a failed write, the document is read again, which shows whether the
  // write took effect or another node wrote first. The delay limits the rate of
  // store calls.
  timer_.expires_after(written ? kWritePause : kReadPause);
  timer_.async_wait([this](const boost::system::error_code& failed) {
    if (failed) return;
    busy_ = false;
    if (dirty_) Read();
  });
  if (written) {
    stored_ = MergeSuspects(stored_, own_, now_());
    revision_ = Value(reply).revision;
  }
}

}  // namespace pollenledge
