#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <optional>
#include <string>

#include "pollenledge/connection/async_cloud.h"
#include "pollenledge/connection/async_store.h"
#include "pollenledge/time.h"

namespace pollenledge {

/// Tracks whether this node may act as the lease holder of the fleet-wide
/// duties. Deterministic: the current time is an argument. Not thread-safe.
///
/// The holder stops acting, by its own clock, before its lease can expire. A
/// new holder waits for `takeover_delay` before it acts, so that no call sent
/// by an earlier holder is still in flight. The clock must keep running while
/// the machine is suspended.
class DutyLeaseValidity {
 public:
  /// The holder stops acting this long before its lease expires, which leaves
  /// time for a call in flight.
  static constexpr Duration kSafetyMargin = std::chrono::milliseconds(1300);

  explicit DutyLeaseValidity(Duration takeover_delay)
      : takeover_delay_(takeover_delay) {}

  /// Records that the lease was acquired by a call sent at `sent_at`. With
  /// `is_first` no node has ever held the lease, so the takeover delay is
  /// skipped.
  void OnAcquired(std::int64_t fence, TimePoint sent_at, Duration time_to_live,
                  bool is_first, TimePoint now);
  /// Records that the store may have lost another node's lease at `at` or
  /// earlier. Its holder may act until that would have ended.
  void OnLeasesLost(TimePoint at, Duration time_to_live);
  /// Records that the lease was renewed by a call sent at `sent_at`.
  void OnRenewed(TimePoint sent_at, Duration time_to_live);
  void OnLost() { fence_.reset(); }

  bool held() const { return fence_.has_value(); }
  /// True if the holder may send a call at `now`.
  bool MayAct(TimePoint now) const;
  /// The fencing token of the held lease; 0 if none is held.
  std::int64_t fence() const { return fence_.value_or(0); }
  /// From this time on no call may be sent unless the lease is renewed.
  TimePoint valid_until() const { return expires_at_ - kSafetyMargin; }

 private:
  Duration takeover_delay_;
  std::optional<std::int64_t> fence_;
  TimePoint may_act_from_;
  TimePoint other_holder_until_;  ///< See `OnLeasesLost`.
  TimePoint expires_at_;
};

/// Competes with the other nodes for the fleet-wide duties through a leased key
/// in the store. The fencing token is the store revision at which the key was
/// created, so it only grows. If the store is restored from an older copy, the
/// holder gives the duties up and the next one waits until any lease of before
/// would have ended. Runs on the event loop. Not thread-safe.
class DutyLease {
 public:
  /// Time after the last renewal at which the store deletes the key.
  static constexpr Duration kTimeToLive = std::chrono::milliseconds(4000);
  /// Time from a successful acquisition or renewal to the next renewal.
  static constexpr Duration kRenewInterval = std::chrono::milliseconds(1200);

  /// True if this node should try to hold the duties. In a large fleet only a
  /// few nodes are candidates. The others read the key rarely and compete for
  /// the duties only if they find that no node holds them.
  using IsCandidate = std::function<bool()>;

  DutyLease(boost::asio::io_context& loop, AsyncStore* store, std::string key,
            std::string owner, std::uint64_t incarnation,
            Duration takeover_delay, IsCandidate is_candidate);

  void Start();
  /// Releases the lease, if held, and stops competing.
  void Stop();

  /// True if this node holds the duties and may send a call at `now`.
  bool MayAct(TimePoint now) const {
    return !stopped_ && validity_.MayAct(now);
  }
  bool held() const { return validity_.held(); }
  /// Identifies this holder and its fencing token in calls to the cloud API.
  DutyFence stamp() const {
    return {owner_, validity_.fence(), validity_.valid_until()};
  }

 private:
  /// Reads the key if this node is a candidate or has not read it for long,
  /// else checks again later.
  void ReadKeyIfDue();
  void ReadKey();
  /// Requests a lease from the store and then tries to acquire the duties.
  void RequestStoreLease();
  /// Writes the key and a record that the duties have been held. With
  /// `as_first` the write succeeds only if no such record exists yet.
  void TryAcquire(const StoreLease& lease, TimePoint sent_at, bool as_first);
  /// Waits until the key changes or the watch times out, then reads it again
  /// if due.
  void WatchKey(std::int64_t after_revision);
  void Renew();
  void OnRestored();
  void OnAcquired(std::int64_t fence, const StoreLease& lease,
                  TimePoint sent_at, bool as_first);
  /// Key of the record that the duties have been held.
  std::string EverHeldKey() const { return key_ + "-held"; }
  void OnLost(const char* reason);
  void RunAfter(Duration delay, std::function<void()> next);

  AsyncStore* store_;
  std::string key_;
  std::string owner_;
  std::string identity_;  ///< Value of the key: owner and incarnation.
  IsCandidate is_candidate_;
  TimePoint last_read_at_;
  TimePoint started_at_;
  int restores_seen_ = 0;
  DutyLeaseValidity validity_;
  boost::asio::steady_timer timer_;
  std::optional<StoreLease> lease_;
  bool stopped_ = false;
};

}  // namespace pollenledge
