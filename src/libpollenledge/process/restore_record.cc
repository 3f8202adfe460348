#include "pollenledge/process/restore_record.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "pollenledge/process/log.h"

namespace pollenledge {
namespace {

using Json = nlohmann::json;

/// Interval at which a process that does not write the record itself looks
/// whether another one has.
constexpr Duration kRecheckInterval = std::chrono::seconds(5);

}  // namespace

std::string EncodeRestore(const StoredRestore& restore) {
  return Json{{"era", restore.era},
              {"at_us", restore.at.time_since_epoch().count()}}
      .dump();
}

Result<StoredRestore> DecodeRestore(const std::string& text) {
  try {
    const Json document = Json::parse(text);
    return StoredRestore{
        document.at("era").get<std::int64_t>(),
        WallTime(Duration(document.at("at_us").get<std::int64_t>()))};
  } catch (const Json::exception& problem) {
    return Error{ErrorCode::kInvalidArgument, problem.what()};
  }
}

RestoreRecord::RestoreRecord(boost::asio::io_context& loop, AsyncStore* store,
                             std::string key, std::function<WallTime()> now,
                             std::function<bool()> may_write)
    : store_(store),
      key_(std::move(key)),
      now_(std::move(now)),
      may_write_(std::move(may_write)),
      timer_(loop) {
  store->OnRestored([this] { OnRestored(); });
}

void RestoreRecord::Start() { Read(); }

bool RestoreRecord::IsRewriteTime() const {
  return !is_known_ ||
         (restored_at_.has_value() && now_() < *restored_at_ + kRewriteTime);
}

bool RestoreRecord::MayLackWrites() const {
  const bool was_restored = store_->era() > store_position::kFirstEra;
  return was_restored && !was_current_ && IsRewriteTime();
}

void RestoreRecord::OnRestored() {
  was_current_ = was_current_ || !IsRewriteTime();
  is_known_ = false;
  restored_at_ = now_();
  timer_.expires_after(Duration::zero());
  timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) Read();
  });
}

void RestoreRecord::Read() {
  store_->Read(key_, [this](const Result<StoreItem>& item) { OnRead(item); });
}

void RestoreRecord::OnRead(const Result<StoreItem>& item) {
  if (!Ok(item)) {
    RetryRead();
    return;
  }
  const std::int64_t era = store_->era();
  const std::optional<KvEntry>& entry = Value(item).entry;
  StoredRestore stored;
  if (entry.has_value()) {
    const Result<StoredRestore> decoded = DecodeRestore(entry->value);
    if (Ok(decoded)) {
      stored = Value(decoded);
    } else {
      Log(LogLevel::kError, "restore_record_malformed",
          {{"error", ErrorOf(decoded).message}});
    }
  }
  is_known_ = true;
  era_ = era;
  const bool is_recorded =
      era <= store_position::kFirstEra || stored.era >= era;
  if (is_recorded) {
    if (stored.era >= era && stored.era > 0) restored_at_ = stored.at;
    return;
  }
  if (!restored_at_.has_value()) restored_at_ = now_();
  if (may_write_()) {
    Write(entry.has_value() ? entry->mod_revision : 0);
    return;
  }
  timer_.expires_after(kRecheckInterval);
  timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) Read();
  });
}

void RestoreRecord::Write(std::int64_t expected_revision) {
  StoreTransaction transaction;
  transaction.writes = {{.key = key_,
                         .value = EncodeRestore({era_, *restored_at_}),
                         .expected_revision = expected_revision}};
  store_->Commit(transaction, [this](const Result<KvTxnReply>& reply) {
    const bool written = Ok(reply) && Value(reply).succeeded;
    Log(written ? LogLevel::kInfo : LogLevel::kWarn, "restore_recorded",
        {{"era", std::to_string(era_)},
         {"outcome", !Ok(reply) ? ErrorOf(reply).message
                     : written  ? "done"
                                : "another node was first"}});
    if (!written) RetryRead();
  });
}

void RestoreRecord::RetryRead() {
  timer_.expires_after(kRetryDelay);
  timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) Read();
  });
}

}  // namespace pollenledge
