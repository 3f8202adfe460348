#include "pollenledge/process/stream_record_sync.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "pollenledge/connection/loop_clock.h"
#include "pollenledge/process/log.h"

namespace pollenledge {
namespace {

/// A write that does not depend on the key's current revision.
constexpr std::int64_t kAnyRevision = -1;

void LogFailure(const char* event, const Error& error) {
  Log(LogLevel::kWarn, event, {{"error", error.message}});
}

Error NotWritten(const Result<KvTxnReply>& reply) {
  if (!Ok(reply)) return ErrorOf(reply);
  return {ErrorCode::kUnavailable, "another node was first"};
}

/// Returns the versions that have a readable record.
std::vector<StreamBinding> DecodeVersions(const StoreListing& listing) {
  std::vector<StreamBinding> versions;
  for (const KvEntry& entry : listing.entries) {
    Result<StreamBinding> version = DecodeBinding(entry.value);
    if (Ok(version)) {
      versions.push_back(std::move(Value(version)));
    } else {
      LogFailure("version_record_unreadable", ErrorOf(version));
    }
  }
  return versions;
}

bool Succeeded(const Result<KvTxnReply>& reply) {
  return Ok(reply) && Value(reply).succeeded;
}

}  // namespace

std::string EncodeBinding(const StreamBinding& binding) {
  return nlohmann::json{{"service", binding.service},
                        {"software_version", binding.software_version}}
      .dump();
}

Result<StreamBinding> DecodeBinding(const std::string& text) {
  try {
    const nlohmann::json json = nlohmann::json::parse(text);
    return StreamBinding{json.at("service").get<std::string>(),
                         json.at("software_version").get<std::string>()};
  } catch (const std::exception& error) {
    return Error{ErrorCode::kInvalidArgument,
                 std::string("the record is malformed: ") + error.what()};
  }
}

StreamRecordSync::StreamRecordSync(boost::asio::io_context& loop,
                                   AsyncStore* store,
                                   std::string version_prefix,
                                   std::string stream_prefix,
                                   Duration stream_lifetime,
                                   VersionsCallback on_versions)
    : store_(store),
      version_prefix_(std::move(version_prefix)),
      stream_prefix_(std::move(stream_prefix)),
      stream_lifetime_(stream_lifetime),
      on_versions_(std::move(on_versions)),
      versions_timer_(loop),
      streams_timer_(loop) {
  store->OnRestored([this] { OnRestored(); });
}

void StreamRecordSync::OnRestored() {
  lease_ = 0;
  streams_lost_ = true;
  if (!updating_versions_) Start();
}

// Versions.

void StreamRecordSync::Start() {
  updating_versions_ = true;
  ReadVersions();
}

void StreamRecordSync::ReadVersions() {
  store_->List(version_prefix_, [this](const Result<StoreListing>& listing) {
    OnVersionsListed(listing);
  });
}

void StreamRecordSync::OnVersionsListed(const Result<StoreListing>& listing) {
  if (!Ok(listing)) {
    LogFailure("version_records_unknown", ErrorOf(listing));
    RunLater(&versions_timer_, kRetryInterval, &StreamRecordSync::ReadVersions);
    return;
  }
  std::vector<StreamBinding> versions = DecodeVersions(Value(listing));
  Log(LogLevel::kInfo, "version_records_read",
      {{"versions", std::to_string(versions.size())},
       {"revision", std::to_string(Value(listing).store_revision)}});
  updating_versions_ = false;
  on_versions_(std::move(versions), std::exchange(streams_lost_, false));
}

void StreamRecordSync::UpdateVersions(
    const std::vector<StreamBinding>& added,
    const std::vector<StreamBinding>& removed) {
  if (updating_versions_) return;
  updating_versions_ = true;
  StoreTransaction transaction;
  for (const StreamBinding& version : added) {
    if (transaction.writes.size() == kMaxWritesPerCall) break;
    transaction.writes.push_back(
        {.key = VersionKey(version), .value = EncodeBinding(version)});
  }
  for (const StreamBinding& version : removed) {
    const std::size_t entries =
        transaction.writes.size() + transaction.removals.size();
    if (entries == kMaxWritesPerCall) break;
    transaction.removals.push_back(VersionKey(version));
  }
  Log(LogLevel::kInfo, "version_records_update",
      {{"added", std::to_string(transaction.writes.size())},
       {"removed", std::to_string(transaction.removals.size())}});
  store_->Commit(transaction, [this](const Result<KvTxnReply>& reply) {
    if (Ok(reply)) {
      // Whoever wrote first, reading shows what is stored now.
      ReadVersions();
      return;
    }
    LogFailure("version_records_not_written", ErrorOf(reply));
    RunLater(&versions_timer_, kRetryInterval, &StreamRecordSync::ReadVersions);
  });
}

std::string StreamRecordSync::VersionKey(const StreamBinding& version) const {
  return version_prefix_ +
         ToHex(ComputeFingerprint({version.service, version.software_version}));
}

// Streams.

std::string StreamRecordSync::StreamKey(const Fingerprint& stream) const {
  return stream_prefix_ + ToHex(stream);
}

void StreamRecordSync::RecordStreams(const std::vector<StreamRecord>& records) {
  pending_.insert(pending_.end(), records.begin(), records.end());
  if (pending_.size() > kMaxPendingRecords) {
    const std::size_t dropped = pending_.size() - kMaxPendingRecords;
    pending_.erase(pending_.begin(),
                   pending_.begin() + static_cast<std::ptrdiff_t>(dropped));
    Log(LogLevel::kWarn, "stream_records_dropped",
        {{"records", std::to_string(dropped)}});
  }
  if (writing_streams_) return;
  writing_streams_ = true;
  WritePending();
}

void StreamRecordSync::WritePending() {
  if (pending_.empty()) {
    writing_streams_ = false;
    return;
  }
  // Records live at least as long as a stream can be resumed.
  if (lease_ == 0 || BootClockNow() - lease_granted_at_ > stream_lifetime_) {
    GrantLease();
    return;
  }
  StoreTransaction transaction;
  const std::size_t count = std::min(pending_.size(), kMaxWritesPerCall);
  for (std::size_t i = 0; i < count; ++i) {
    transaction.writes.push_back({.key = StreamKey(pending_[i].stream),
                                  .value = EncodeBinding(pending_[i].binding),
                                  .expected_revision = kAnyRevision,
                                  .lease = lease_});
  }
  store_->Commit(transaction, [this, count](const Result<KvTxnReply>& reply) {
    OnRecordsWritten(count, reply);
  });
}

void StreamRecordSync::GrantLease() {
  lease_granted_at_ = BootClockNow();
  store_->GrantLease(2 * stream_lifetime_,
                     [this](const Result<StoreLease>& lease) {
                       if (!Ok(lease)) {
                         LogFailure("stream_lease_failed", ErrorOf(lease));
                         RunLater(&streams_timer_, kRetryInterval,
                                  &StreamRecordSync::WritePending);
                         return;
                       }
                       lease_ = Value(lease).id;
                       WritePending();
                     });
}

void StreamRecordSync::OnRecordsWritten(std::size_t count,
                                        const Result<KvTxnReply>& reply) {
  if (Succeeded(reply)) {
    pending_.erase(pending_.begin(),
                   pending_.begin() + static_cast<std::ptrdiff_t>(
                                          std::min(count, pending_.size())));
    if (pending_.size() >= kMaxWritesPerCall) {
      WritePending();
    } else {
      RunLater(&streams_timer_, kMinWriteInterval,
               &StreamRecordSync::WritePending);
    }
    return;
  }
  LogFailure("stream_records_not_written", NotWritten(reply));
  const bool lease_ended =
      !Ok(reply) && ErrorOf(reply).code == ErrorCode::kNotFound;
  if (lease_ended) lease_ = 0;
  RunLater(&streams_timer_, kRetryInterval, &StreamRecordSync::WritePending);
}

void StreamRecordSync::Find(const Fingerprint& stream,
                            const std::string& versions_of,
                            FindCallback callback) {
  if (versions_of.empty()) {
    FindStream(stream, {}, std::move(callback));
    return;
  }
  store_->List(version_prefix_, [this, stream, versions_of,
                                 callback = std::move(callback)](
                                    const Result<StoreListing>& listing) {
    if (!Ok(listing)) {
      LogFailure("stream_lookup_failed", ErrorOf(listing));
      callback({});
      return;
    }
    std::vector<StreamBinding> versions = DecodeVersions(Value(listing));
    const auto count =
        std::count_if(versions.begin(), versions.end(),
                      [&versions_of](const StreamBinding& version) {
                        return version.service == versions_of;
                      });
    Found found;
    found.responded = true;
    found.versions = std::move(versions);
    if (count > 1) {
      FindStream(stream, std::move(found), callback);
    } else {
      callback(std::move(found));
    }
  });
}

void StreamRecordSync::FindStream(const Fingerprint& stream, Found found,
                                  FindCallback callback) {
  store_->Read(StreamKey(stream),
               [found = std::move(found), callback = std::move(callback)](
                   const Result<StoreItem>& item) mutable {
                 found.responded = Ok(item);
                 if (!Ok(item)) {
                   LogFailure("stream_lookup_failed", ErrorOf(item));
                 } else if (Value(item).entry.has_value()) {
                   const Result<StreamBinding> binding =
                       DecodeBinding(Value(item).entry->value);
                   if (Ok(binding)) {
                     found.binding = Value(binding);
                   } else {
                     LogFailure("stream_record_unreadable", ErrorOf(binding));
                   }
                 }
                 callback(std::move(found));
               });
}

void StreamRecordSync::RunLater(boost::asio::steady_timer* timer,
                                Duration delay,
                                void (StreamRecordSync::*next)()) {
  timer->expires_after(delay);
  timer->async_wait([this, next](const boost::system::error_code& error) {
    if (!error) (this->*next)();
  });
}

}  // namespace pollenledge
