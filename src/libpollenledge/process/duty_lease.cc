#include "pollenledge/process/duty_lease.h"

#include <algorithm>
#include <utility>

#include "pollenledge/connection/loop_clock.h"
#include "pollenledge/process/log.h"

namespace pollenledge {
namespace {

/// Delay of a retry after an error, so that a failing store is not overloaded.
constexpr Duration kRetryDelay = std::chrono::milliseconds(700);
/// Timeout of a watch. A watch that reports no change does not prove that the
/// key still exists, so a candidate then reads the key again.
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

void DutyLeaseValidity::OnAcquired(std::int64_t fence, TimePoint sent_at,
                                   Duration time_to_live, bool is_first,
                                   TimePoint now) {
  fence_ = fence;
  may_act_from_ =
      is_first ? now : std::max(now, other_holder_until_) + takeover_delay_;
  expires_at_ = sent_at + time_to_live;
}

void DutyLeaseValidity::OnLeasesLost(TimePoint at, Duration time_to_live) {
  other_holder_until_ =
      std::max(other_holder_until_, at + time_to_live - kSafetyMargin);
}

void DutyLeaseValidity::OnRenewed(TimePoint sent_at, Duration time_to_live) {
  expires_at_ = std::max(expires_at_, sent_at + time_to_live);
}

bool DutyLeaseValidity::MayAct(TimePoint now) const {
  return fence_.has_value() && now >= may_act_from_ && now < valid_until();
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
      validity_(takeover_delay),
      timer_(loop) {
  store->OnRestored([this] { OnRestored(); });
}

void DutyLease::Start() {
  last_read_at_ = BootClockNow();
  started_at_ = BootClockNow();
  RunAfter(kStartDelay, [this] { ReadKeyIfDue(); });
}

void DutyLease::ReadKeyIfDue() {
  if (is_candidate_() ||
      BootClockNow() - last_read_at_ >= kNonCandidateReadInterval) {
    ReadKey();
  } else {
    RunAfter(kCandidateCheckInterval, [this] { ReadKeyIfDue(); });
  }
}

void DutyLease::Stop() {
  if (std::exchange(stopped_, true)) return;
  timer_.cancel();
  if (lease_.has_value()) store_->RevokeLease(lease_->id);
  if (validity_.held()) OnLost("stopping");
}

void DutyLease::RunAfter(Duration delay, std::function<void()> next) {
  timer_.expires_after(delay);
  timer_.async_wait(
      [this, next = std::move(next)](const boost::system::error_code& error) {
        if (!error && !stopped_) next();
      });
}

void DutyLease::ReadKey() {
  last_read_at_ = BootClockNow();
  store_->Read(key_, [this](const Result<StoreItem>& item) {
    if (stopped_) return;
    if (!Ok(item)) {
      RunAfter(kRetryDelay, [this] { ReadKey(); });
    } else if (!Value(item).entry.has_value()) {
      RequestStoreLease();
    } else {
      WatchKey(Value(item).store_revision);
    }
  });
}

void DutyLease::RequestStoreLease() {
  const TimePoint sent_at = BootClockNow();
  // A restored store may have lost the record that the duties were held.
  const bool as_first = store_->era() <= store_position::kFirstEra;
  store_->GrantLease(
      kTimeToLive, [this, sent_at, as_first](const Result<StoreLease>& lease) {
        if (stopped_) return;
        if (!Ok(lease)) {
          RunAfter(kRetryDelay, [this] { ReadKey(); });
          return;
        }
        TryAcquire(Value(lease), sent_at, as_first);
      });
}

void DutyLease::TryAcquire(const StoreLease& lease, TimePoint sent_at,
                           bool as_first) {
  // Writes the key whatever its current revision is.
  constexpr std::int64_t kAnyRevision = -1;
  StoreTransaction transaction;
  transaction.writes.push_back({key_, identity_, 0, lease.id});
  transaction.writes.push_back(
      {EverHeldKey(), identity_, as_first ? 0 : kAnyRevision, 0});
  store_->Commit(
      transaction, [this, lease, sent_at, as_first, restores = restores_seen_](
                       const Result<KvTxnReply>& reply) {
        if (stopped_) {
          store_->RevokeLease(lease.id);
          return;
        }
        if (restores != restores_seen_) {
          // The lease was lost, and its id may be that of another one now.
          RunAfter(kRetryDelay, [this] { ReadKey(); });
          return;
        }
        if (Ok(reply) && Value(reply).succeeded) {
          OnAcquired(Value(reply).revision, lease, sent_at, as_first);
          return;
        }
        if (Ok(reply) && as_first) {
          TryAcquire(lease, sent_at, false);
          return;
        }
        // If the response was lost, the key is not read back to find out
        // whether the write took effect: the lease is not renewed, so it
        // expires by itself.
        store_->RevokeLease(lease.id);
        RunAfter(kRetryDelay, [this] { ReadKey(); });
      });
}

void DutyLease::WatchKey(std::int64_t after_revision) {
  store_->Watch(key_, after_revision, kWatchTimeout,
                [this](const Result<StoreChanges>& changes) {
                  if (stopped_) return;
                  if (Ok(changes)) {
                    ReadKeyIfDue();
                  } else {
                    RunAfter(kRetryDelay, [this] { ReadKey(); });
                  }
                });
}

void DutyLease::OnAcquired(std::int64_t fence, const StoreLease& lease,
                           TimePoint sent_at, bool as_first) {
  lease_ = lease;
  // The store may have been restored just before this process started.
  if (store_->era() > store_position::kFirstEra)
    validity_.OnLeasesLost(started_at_, kTimeToLive);
  validity_.OnAcquired(fence, sent_at, lease.time_to_live, as_first,
                       BootClockNow());
  Log(LogLevel::kInfo, "duties_taken", {{"fence", std::to_string(fence)}});
  RunAfter(kRenewInterval, [this] { Renew(); });
}

void DutyLease::OnRestored() {
  ++restores_seen_;
  validity_.OnLeasesLost(BootClockNow(), kTimeToLive);
  if (stopped_ || !validity_.held()) return;
  OnLost("the store was restored from an older copy");
  RunAfter(kRetryDelay, [this] { ReadKey(); });
}

void DutyLease::Renew() {
  const TimePoint sent_at = BootClockNow();
  store_->RenewLease(lease_->id, [this, sent_at, restores = restores_seen_](
                                     const Result<StoreLease>& lease) {
    if (stopped_ || restores != restores_seen_) return;
    if (Ok(lease)) {
      validity_.OnRenewed(sent_at, Value(lease).time_to_live);
    } else if (ErrorOf(lease).code == ErrorCode::kNotFound) {
      OnLost("the lease has expired");
      RunAfter(kRetryDelay, [this] { ReadKey(); });
      return;
    }
    RunAfter(Ok(lease) ? kRenewInterval : kRetryDelay, [this] { Renew(); });
  });
}

void DutyLease::OnLost(const char* reason) {
  Log(LogLevel::kWarn, "duties_lost",
      {{"fence", std::to_string(validity_.fence())}, {"reason", reason}});
  validity_.OnLost();
  lease_.reset();
}

}  // namespace pollenledge
