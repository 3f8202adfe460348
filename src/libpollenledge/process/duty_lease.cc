#include "pollenledge/process/duty_lease.h"

#include <utility>

#include "pollenledge/connection/loop_clock.h"
#include "pollenledge/process/log.h"

namespace pollenledge {
namespace {

/// Delay of a retry after an error, so that a failing store is not overloaded.
constexpr Duration kRetryDelay = std::chrono::milliseconds(700);
/// A watch that reports no change does not prove that the key still exists, so
/// the key is read again after this time.
constexpr Duration kWatchTimeout = std::chrono::seconds(10);
/// Delay after the start, in which the node learns of others that hold the
/// duties or are candidates.
constexpr Duration kStartDelay = std::chrono::milliseconds(700);
/// Interval at which a node checks whether it has become a candidate.
constexpr Duration kCandidateCheckInterval = std::chrono::seconds(1);
/// Interval at which a node that is no candidate checks that the duties are
/// held.
constexpr Duration kNonCandidateReadInterval = std::chrono::seconds(20);

}  // namespace

void DutyTenure::Begin(std::int64_t fence, TimePoint sent_at,
                       Duration time_to_live, bool is_first, TimePoint now) {
  fence_ = fence;
  acts_from_ = is_first ? now : now + quiet_time_;
  ends_at_ = sent_at + time_to_live;
}

void DutyTenure::Renew(TimePoint sent_at, Duration time_to_live) {
  ends_at_ = std::max(ends_at_, sent_at + time_to_live);
}

bool DutyTenure::MayAct(TimePoint now) const {
  return fence_.has_value() && now >= acts_from_ && now < valid_until();
}

DutyLease::DutyLease(boost::asio::io_context& loop, AsyncStore* store,
                     std::string key, std::string owner,
                     std::uint64_t incarnation, Duration takeover_delay,
                     IsCandidate is_candidate)
    : store_(store),
      key_(std::move(key)),
      owner_(std::move(owner)),
      identity_(ProcessName({owner_, incarnation})),
      is_candidate_(std::move(is_candidate)),
      tenure_(takeover_delay),
      timer_(loop) {}

void DutyLease::Start() {
  looked_at_ = BootNow();
  After(kStartDelay, [this] { Begin(); });
}

void DutyLease::Begin() {
  if (is_candidate_() || BootNow() - looked_at_ >= kNonCandidateReadInterval) {
    Look();
  } else {
    After(kCandidateCheckInterval, [this] { Begin(); });
  }
}

void DutyLease::Stop() {
  if (std::exchange(stopped_, true)) return;
  timer_.cancel();
  if (lease_.has_value()) store_->EndLease(lease_->id);
  if (tenure_.held()) OnLost("stopping");
}

void DutyLease::After(Duration delay, std::function<void()> next) {
  timer_.expires_after(delay);
  timer_.async_wait(
      [this, next = std::move(next)](const boost::system::error_code& error) {
        if (!error && !stopped_) next();
      });
}

void DutyLease::Look() {
  looked_at_ = BootNow();
  store_->Read(key_, [this](const Result<StoreItem>& item) {
    if (stopped_) return;
    if (!Ok(item)) {
      After(kRetryDelay, [this] { Look(); });
    } else if (!Value(item).entry.has_value()) {
      Compete();
    } else {
      Watch(Value(item).store_revision);
    }
  });
}

void DutyLease::Compete() {
  const TimePoint sent_at = BootNow();
  store_->GrantLease(kTimeToLive,
                     [this, sent_at](const Result<StoreLease>& lease) {
                       if (stopped_) return;
                       if (!Ok(lease)) {
                         After(kRetryDelay, [this] { Look(); });
                         return;
                       }
                       Claim(Value(lease), sent_at, true);
                     });
}

void DutyLease::Claim(const StoreLease& lease, TimePoint sent_at,
                      bool as_first) {
  constexpr std::int64_t kAnyRevision = -1;
  StoreTransaction transaction;
  transaction.writes.push_back({key_, identity_, 0, lease.id});
  transaction.writes.push_back(
      {RecordKey(), identity_, as_first ? 0 : kAnyRevision, 0});
  store_->Commit(transaction, [this, lease, sent_at,
                               as_first](const Result<KvTxnReply>& reply) {
    if (stopped_) {
      store_->EndLease(lease.id);
      return;
    }
    if (Ok(reply) && Value(reply).succeeded) {
      OnHeld(Value(reply).revision, lease, sent_at, as_first);
      return;
    }
    if (Ok(reply) && as_first) {
      Claim(lease, sent_at, false);
      return;
    }
    // If the response was lost, the key is not read back to find out
    // whether the write took effect: the lease is not renewed, so it
    // expires by itself.
    store_->EndLease(lease.id);
    After(kRetryDelay, [this] { Look(); });
  });
}

void DutyLease::Watch(std::int64_t after_revision) {
  store_->Watch(key_, after_revision, kWatchTimeout,
                [this](const Result<StoreChanges>& changes) {
                  if (stopped_) return;
                  if (Ok(changes)) {
                    Begin();
                  } else {
                    After(kRetryDelay, [this] { Look(); });
                  }
                });
}

void DutyLease::OnHeld(std::int64_t fence, const StoreLease& lease,
                       TimePoint sent_at, bool as_first) {
  lease_ = lease;
  tenure_.Begin(fence, sent_at, lease.time_to_live, as_first, BootNow());
  Log(LogLevel::kInfo, "duties_taken", {{"fence", std::to_string(fence)}});
  After(kRenewPeriod, [this] { Renew(); });
}

void DutyLease::Renew() {
  const TimePoint sent_at = BootNow();
  store_->KeepLease(
      lease_->id, [this, sent_at](const Result<StoreLease>& lease) {
        if (stopped_) return;
        if (Ok(lease)) {
          tenure_.Renew(sent_at, Value(lease).time_to_live);
        } else if (ErrorOf(lease).code == ErrorCode::kNotFound) {
          OnLost("the lease has expired");
          After(kRetryDelay, [this] { Look(); });
          return;
        }
        After(Ok(lease) ? kRenewPeriod : kRetryDelay, [this] { Renew(); });
      });
}

void DutyLease::OnLost(const char* reason) {
  Log(LogLevel::kWarn, "duties_lost",
      {{"fence", std::to_string(tenure_.fence())}, {"reason", reason}});
  tenure_.End();
  lease_.reset();
}

}  // namespace pollenledge
