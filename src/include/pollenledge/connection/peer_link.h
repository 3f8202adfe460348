#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "pollenledge/process/entry_events.h"
#include "pollenledge/process/time_line.h"
#include "pollenledge/result.h"
#include "pollenledge/time.h"
#include "pollenledge/version/tables.h"

namespace pollenledge {

/// A request that is handed over, with the bytes that the daemon keeps of it.
struct HandOverMessage {
  HandedOverRequest request;
  std::string path;       ///< Of the caller's request.
  std::string body;       ///< Of the caller's request.
  std::string delivered;  ///< Of the answer, as far as it came.
};

/// A part of the answer of a request that runs or ran at a peer.
struct FetchedAnswer {
  bool found = false;
  bool finished = false;
  int http_status = 0;
  std::string content_type;
  std::string data;
};

/// One instance of the platform's list.
struct ListedUpstream {
  UpstreamId id;
  std::string address;
  std::string pool;
  std::string domain;
  std::string machine_class;
  bool reclaimable = true;

  friend bool operator==(const ListedUpstream&,
                         const ListedUpstream&) = default;
};

/// What an entry tells its control agent; status, time line and usage are
/// JSON, passed on to operators as they are.
struct EntryReport {
  std::string status;
  std::string time_line;
  std::string usage;
  VersionedTexts tables;
};

/// Answers the calls of other processes. Called from the link's own thread:
/// implementations must not block and must not call the link.
class PeerService {
 public:
  virtual ~PeerService() = default;

  /// A message that is an event to this entry.
  virtual void OnPeerEvent(EntryEvent event) = 0;
  virtual HolderAnswer QueryHolder(const RequestId& id) = 0;
  virtual bool HandOver(const HandOverMessage& message) = 0;
  /// Finds nothing for a customer other than the request's own.
  virtual FetchedAnswer Fetch(const RequestId& id, const std::string& customer,
                              std::uint64_t offset) = 0;
  virtual VersionedTexts TablesInForce() = 0;
  virtual std::uint64_t ApplyTables(const VersionedTexts& tables) = 0;
  virtual void ListUpstreams(const std::vector<ListedUpstream>& upstreams) = 0;
  virtual EntryReport Report() = 0;
  virtual HybridTime Clock() = 0;
  virtual void ReceiveClock(const HybridTime& remote) = 0;
};

/// Cap'n Proto RPC between the system's processes: a server for this process's
/// `PeerService`, and calls to those of others.
///
/// One thread runs the event loop. Calls block the calling thread for at most
/// the time-out; they may come from any thread but the link's own. Every call
/// carries the shared token; a server refuses calls with another.
class PeerLink {
 public:
  struct Options {
    std::string listen_address;  ///< Empty: calls only, no server.
    std::string token;
    Duration timeout{std::chrono::milliseconds(800)};
  };

  /// `service` may be null without a listen address; otherwise it must outlive
  /// the link. Throws if the address cannot be listened on.
  PeerLink(Options options, PeerService* service);
  ~PeerLink();

  PeerLink(const PeerLink&) = delete;
  PeerLink& operator=(const PeerLink&) = delete;

  Status SendHeartbeat(const HeartbeatMessage& message);
  Status SendUpstreamNotice(const std::string& address,
                            const event::UpstreamNoticed& notice);
  HolderAnswer QueryHolder(const std::string& address, const RequestId& id);
  Result<bool> HandOver(const std::string& address,
                        const HandOverMessage& message);
  Result<FetchedAnswer> Fetch(const std::string& address, const RequestId& id,
                              const std::string& customer,
                              std::uint64_t offset);
  Result<VersionedTexts> FetchTables(const std::string& address);

  Result<std::uint64_t> ApplyTables(const std::string& address,
                                    const VersionedTexts& tables);
  Status ListUpstreams(const std::string& address,
                       const std::vector<ListedUpstream>& upstreams);
  Status ForwardNotice(const std::string& address,
                       const event::UpstreamNoticed& notice);
  Status Drain(const std::string& address, std::optional<Duration> remaining);
  Result<EntryReport> Report(const std::string& address);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace pollenledge
