#include "pollenledge/process/duty_lease.h"

#include <utility>

#include "pollenledge/connection/loop_clock.h"
#include "pollenledge/process/log.h"

namespace pollenledge {
namespace {

/// After an error, so that a store that refuses is not pressed.
constexpr Duration kRetry = std::chrono::milliseconds(700);
/// A watch that hears nothing proves nothing, so the key is read again.
constexpr Duration kWatchWait = std::chrono::seconds(10);
/// In this time a node that starts has heard of others that hold or are to hold
/// the duties.
constexpr Duration kJoinTime = std::chrono::milliseconds(700);
/// How often a node checks whether it has become a candidate.
constexpr Duration kCheckPeriod = std::chrono::seconds(1);
/// A node that is no candidate looks this often whether the duties are held.
constexpr Duration kStandBy = std::chrono::seconds(20);

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
                     std::uint64_t incarnation, Duration quiet_time,
                     IsCandidate is_candidate)
    : store_(store),
      key_(std::move(key)),
      owner_(std::move(owner)),
      identity_(ProcessName({owner_, incarnation})),
      is_candidate_(std::move(is_candidate)),
      tenure_(quiet_time),
      timer_(loop) {}

void DutyLease::Start() {
  looked_at_ = BootNow();
  After(kJoinTime, [this] { Begin(); });
}

void DutyLease::Begin() {
  if (is_candidate_() || BootNow() - looked_at_ >= kStandBy) {
    Look();
  } else {
    After(kCheckPeriod, [this] { Begin(); });
  }
}

void DutyLease::Stop() {
  if (std::exchange(stopped_, true)) return;
  timer_.cancel();
  if (lease_.has_value()) store_->EndLease(lease_->id);
  if (tenure_.held()) OnLost("stopping");
}

void DutyLease::After(Duration pause, std::function<void()> next) {
  timer_.expires_after(pause);
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
      After(kRetry, [this] { Look(); });
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
                         After(kRetry, [this] { Look(); });
                         return;
                       }
                       Claim(Value(lease), sent_at, true);
                     });
}

void DutyLease::Claim(const StoreLease& lease, TimePoint sent_at,
                      bool as_first) {
  constexpr std::int64_t kAnyRevision = -1;
  StoreTransaction claim;
  claim.writes.push_back({key_, identity_, 0, lease.id});
  claim.writes.push_back(
      {RecordKey(), identity_, as_first ? 0 : kAnyRevision, 0});
  store_->Commit(
      claim, [this, lease, sent_at, as_first](const Result<KvTxnReply>& reply) {
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
        // An answer that was lost is not settled by reading back:
        // the lease that nobody renews ends by itself.
        store_->EndLease(lease.id);
        After(kRetry, [this] { Look(); });
      });
}

void DutyLease::Watch(std::int64_t from) {
  store_->Watch(key_, from, kWatchWait,
                [this](const Result<StoreChanges>& changes) {
                  if (stopped_) return;
                  if (Ok(changes)) {
                    Begin();
                  } else {
                    After(kRetry, [this] { Look(); });
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
          OnLost("the lease has ended");
          After(kRetry, [this] { Look(); });
          return;
        }
        After(Ok(lease) ? kRenewPeriod : kRetry, [this] { Renew(); });
      });
}

void DutyLease::OnLost(const char* reason) {
  Log(LogLevel::kWarn, "duties_lost",
      {{"fence", std::to_string(tenure_.fence())}, {"reason", reason}});
  tenure_.End();
  lease_.reset();
}

}  // namespace pollenledge
