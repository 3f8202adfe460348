#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "pollenledge/connection/async_store.h"
#include "pollenledge/request/stream_binding.h"
#include "pollenledge/time.h"

namespace pollenledge {

/// Returns `binding` as a JSON document, the value of its record in the store.
std::string EncodeBinding(const StreamBinding& binding);
/// Parses what `EncodeBinding` returns; `kInvalidArgument` for anything else.
Result<StreamBinding> DecodeBinding(const std::string& text);

/// Keeps the records of software versions and of streams in the store: one key
/// for each. A record of a stream is removed by the store when its lease
/// expires; that of a version stays until it is removed.
///
/// In a service with one version nothing is written but the version's record,
/// once. Not thread-safe; everything runs on the event loop's thread.
class StreamRecordSync {
 public:
  /// Time before a failed call is repeated.
  static constexpr Duration kRetryInterval = std::chrono::milliseconds(200);
  /// Time between two writes of records of streams, unless a whole call's worth
  /// of them waits: a collector gets a few from each of many nodes.
  static constexpr Duration kMinWriteInterval = std::chrono::milliseconds(100);
  /// Maximum number of records of streams that wait to be written. If there are
  /// more, the oldest are dropped.
  static constexpr std::size_t kMaxPendingRecords = 20'000;
  /// Maximum number of keys that the store accepts in one transaction.
  static constexpr std::size_t kMaxWritesPerCall = 32;

  /// Receives the versions that have a record. `streams_lost` is set if the
  /// store was restored from an older copy since the last call.
  using VersionsCallback = std::function<void(
      std::vector<StreamBinding> versions, bool streams_lost)>;
  /// What the store says of a stream.
  struct Found {
    std::optional<StreamBinding> binding;  ///< Empty if there is no record.
    bool responded = false;                ///< The store did.
    /// The versions with a record; empty if they were not asked for.
    std::optional<std::vector<StreamBinding>> versions;
  };
  using FindCallback = std::function<void(Found)>;

  /// `store` must outlive this object. Records have keys below the prefixes.
  StreamRecordSync(boost::asio::io_context& loop, AsyncStore* store,
                   std::string version_prefix, std::string stream_prefix,
                   Duration stream_lifetime, VersionsCallback on_versions);

  /// Reads the records of versions. Call once.
  void Start();
  /// Writes and removes records of versions and reads them again. Ignored while
  /// an earlier update is in progress.
  void UpdateVersions(const std::vector<StreamBinding>& added,
                      const std::vector<StreamBinding>& removed);
  /// Writes records of streams, now or as soon as the earlier ones are written.
  void RecordStreams(const std::vector<StreamRecord>& records);
  /// Searches for the record of a stream. Unless `versions_of` is empty, reads
  /// the records of versions first, and searches for the stream only if that
  /// service has more than one.
  void Find(const Fingerprint& stream, const std::string& versions_of,
            FindCallback callback);

 private:
  void OnRestored();
  void ReadVersions();
  void OnVersionsListed(const Result<StoreListing>& listing);
  /// Searches for the record of a stream and adds it to `found`.
  void FindStream(const Fingerprint& stream, Found found,
                  FindCallback callback);
  std::string VersionKey(const StreamBinding& version) const;
  std::string StreamKey(const Fingerprint& stream) const;
  void WritePending();
  void GrantLease();
  void OnRecordsWritten(std::size_t count, const Result<KvTxnReply>& reply);
  void RunLater(boost::asio::steady_timer* timer, Duration delay,
                void (StreamRecordSync::*next)());

  AsyncStore* store_;
  std::string version_prefix_;
  std::string stream_prefix_;
  Duration stream_lifetime_;
  VersionsCallback on_versions_;
  boost::asio::steady_timer versions_timer_;
  boost::asio::steady_timer streams_timer_;
  bool updating_versions_ = false;
  bool streams_lost_ = false;
  std::deque<StreamRecord> pending_;
  bool writing_streams_ = false;  ///< A call or a later one is pending.
  std::int64_t lease_ = 0;        ///< Of new records of streams; 0: none.
  TimePoint lease_granted_at_;
};

}  // namespace pollenledge
