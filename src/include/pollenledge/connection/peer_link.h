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

/// A request that is handed off to a peer, with the bytes that the peer needs
/// to continue it.
struct HandOverMessage {
  HandedOverRequest request;
  std::string path;                ///< Of the caller's request.
  std::string body;                ///< Of the caller's request.
  std::string delivered_response;  ///< Response bytes received so far.
};

/// Part of the response of a request that is running or has run on a peer.
struct FetchedResponse {
  bool found = false;
  bool finished = false;
  int http_status = 0;
  std::string content_type;
  std::string data;
};

/// One instance in the platform's list.
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

/// An entry's report to its control agent. Status, timeline and usage are JSON
/// that is passed on to operators unchanged.
struct EntryReport {
  std::string status;
  std::string time_line;
  std::string usage;
  VersionedTablesYaml tables;
};

/// Interface for handling calls from other processes. Called on the link's own
/// thread, so implementations must not block and must not call the link.
class PeerService {
 public:
  virtual ~PeerService() = default;

  /// Handles a message that translates to an event of this entry.
  virtual void OnPeerEvent(EntryEvent event) = 0;
  /// Returns the state of a request for which this entry owns a claim.
  virtual ClaimOwnerResponse QueryClaimOwner(const RequestId& id) = 0;
  /// Takes over a request from a peer. Returns false if it is not accepted.
  virtual bool HandOver(const HandOverMessage& message) = 0;
  /// Returns the response's bytes from `offset`. Finds nothing if `customer` is
  /// not the request's own.
  virtual FetchedResponse Fetch(const RequestId& id,
                                const std::string& customer,
                                std::uint64_t offset) = 0;
  /// Returns the active tables.
  virtual VersionedTablesYaml ActiveTables() = 0;
  /// Applies `tables` and returns the version that is active afterwards.
  virtual std::uint64_t ApplyTables(const VersionedTablesYaml& tables) = 0;
  /// Applies the platform's list of upstreams.
  virtual void ApplyUpstreamList(
      const std::vector<ListedUpstream>& upstreams) = 0;
  virtual EntryReport Report() = 0;
  /// Advances the hybrid clock for an outgoing message and returns its time.
  virtual HybridTime TickClock() = 0;
  /// Merges the time of a received message into the hybrid clock.
  virtual void ReceiveClock(const HybridTime& remote) = 0;
};

/// Cap'n Proto RPC between the system's processes: a server for this process's
/// `PeerService` and a client for those of other processes.
///
/// Owns one thread that runs the event loop. Calls block the calling thread for
/// at most the timeout and may be made from any thread except the link's own.
/// They return an error if the call fails or times out, in which case it may
/// still have taken effect. Every call carries the shared token, and the server
/// rejects calls with a different one.
class PeerLink {
 public:
  struct Options {
    std::string listen_address;  ///< Empty: client only, no server.
    std::string token;
    Duration timeout{std::chrono::milliseconds(800)};
  };

  /// `service` may be null if there is no listen address; otherwise it must
  /// outlive the link. Throws if it cannot listen on the address.
  PeerLink(Options options, PeerService* service);
  ~PeerLink();

  PeerLink(const PeerLink&) = delete;
  PeerLink& operator=(const PeerLink&) = delete;

  Status SendHeartbeat(const HeartbeatMessage& message);
  /// Sends an upstream's state change to a peer.
  Status SendUpstreamNotice(const std::string& address,
                            const event::UpstreamNoticeReceived& notice);
  /// Returns the status `kUnreachable` if the call fails.
  ClaimOwnerResponse QueryClaimOwner(const std::string& address,
                                     const RequestId& id);
  /// Returns whether the peer accepted the request.
  Result<bool> HandOver(const std::string& address,
                        const HandOverMessage& message);
  Result<FetchedResponse> Fetch(const std::string& address, const RequestId& id,
                                const std::string& customer,
                                std::uint64_t offset);
  Result<VersionedTablesYaml> FetchTables(const std::string& address);

  /// Returns the version that is active at the entry afterwards.
  Result<std::uint64_t> ApplyTables(const std::string& address,
                                    const VersionedTablesYaml& tables);
  Status SendUpstreamList(const std::string& address,
                          const std::vector<ListedUpstream>& upstreams);
  /// Forwards an upstream's state change from the platform to an entry.
  Status ForwardNotice(const std::string& address,
                       const event::UpstreamNoticeReceived& notice);
  /// Starts to drain an entry. `remaining` is the time until it is stopped, if
  /// known.
  Status Drain(const std::string& address, std::optional<Duration> remaining);
  Result<EntryReport> FetchReport(const std::string& address);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace pollenledge
