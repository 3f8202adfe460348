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

/// What a node knows of its own tenure of the duties. Deterministic.
///
/// The holder stops by its own clock before its lease can have ended, and a
/// new holder waits for `quiet_time` before it acts, so that nothing that an
/// earlier holder sent is still on the way. The clock must go on while the
/// machine is suspended.
class DutyTenure {
 public:
  /// The holder stops this long before its lease ends, for a call on the way.
  static constexpr Duration kSafetyMargin = std::chrono::milliseconds(1300);

  explicit DutyTenure(Duration quiet_time) : quiet_time_(quiet_time) {}

  /// The lease was obtained by a call that was sent at `sent_at`. `is_first`:
  /// nobody held it before, so there is nothing to wait for.
  void Begin(std::int64_t fence, TimePoint sent_at, Duration time_to_live,
             bool is_first, TimePoint now);
  /// The lease was renewed by a call that was sent at `sent_at`.
  void Renew(TimePoint sent_at, Duration time_to_live);
  void End() { fence_.reset(); }

  bool held() const { return fence_.has_value(); }
  /// True if a call may be sent now.
  bool MayAct(TimePoint now) const;
  std::int64_t fence() const { return fence_.value_or(0); }
  /// From this time on no call may be sent, unless the lease is renewed.
  TimePoint valid_until() const { return ends_at_ - kSafetyMargin; }

 private:
  Duration quiet_time_;
  std::optional<std::int64_t> fence_;
  TimePoint acts_from_;
  TimePoint ends_at_;
};

/// Competes for the duties with the other nodes through a leased key in the
/// store. The fence is the store's revision at which the key was created, so
/// it only grows. Not thread-safe.
class DutyLease {
 public:
  static constexpr Duration kTimeToLive = std::chrono::milliseconds(4000);
  static constexpr Duration kRenewPeriod = std::chrono::milliseconds(1200);

  /// True if this node should be the one that holds the duties. In a large
  /// fleet few nodes are; the others only see to it that somebody is.
  using IsCandidate = std::function<bool()>;

  DutyLease(boost::asio::io_context& loop, AsyncStore* store, std::string key,
            std::string owner, std::uint64_t incarnation, Duration quiet_time,
            IsCandidate is_candidate);

  void Start();
  /// Gives up the lease, if held, and competes no more.
  void Stop();

  bool MayAct(TimePoint now) const { return !stopped_ && tenure_.MayAct(now); }
  bool held() const { return tenure_.held(); }
  DutyStamp stamp() const {
    return {owner_, tenure_.fence(), tenure_.valid_until()};
  }

 private:
  void Begin();
  void Look();
  void Compete();
  /// Writes the key, and a record that it was ever held; with `as_first` under
  /// the condition that there is no such record yet.
  void Claim(const StoreLease& lease, TimePoint sent_at, bool as_first);
  void Watch(std::int64_t from);
  void Renew();
  void OnHeld(std::int64_t fence, const StoreLease& lease, TimePoint sent_at,
              bool as_first);
  std::string RecordKey() const { return key_ + "-held"; }
  void OnLost(const char* reason);
  void After(Duration pause, std::function<void()> next);

  AsyncStore* store_;
  std::string key_;
  std::string owner_;
  std::string identity_;  ///< The key's value: owner and incarnation.
  IsCandidate is_candidate_;
  TimePoint looked_at_;
  DutyTenure tenure_;
  boost::asio::steady_timer timer_;
  std::optional<StoreLease> lease_;
  bool stopped_ = false;
};

}  // namespace pollenledge
