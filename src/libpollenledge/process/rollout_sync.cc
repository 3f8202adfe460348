#include "pollenledge/process/rollout_sync.h"

#include <algorithm>
#include <utility>

#include "pollenledge/process/log.h"

namespace pollenledge {
namespace {

/// A write that does not depend on the key's current revision.
constexpr std::int64_t kAnyRevision = -1;
/// Delay between two polls of the watch.
constexpr Duration kPollDelay = std::chrono::milliseconds(20);

/// Returns true if both are the same order, also if the store was restored in
/// between, which begins a new era with the same revisions.
bool IsSameOrder(const RolloutOrder& a, const RolloutOrder& b) {
  return a.target == b.target && a.duration == b.duration &&
         store_position::RevisionOf(a.revision) ==
             store_position::RevisionOf(b.revision);
}

}  // namespace

RolloutSync::RolloutSync(boost::asio::io_context& loop, AsyncStore* store,
                         Keys keys, double exposure_share, Hooks hooks)
    : store_(store),
      keys_(std::move(keys)),
      exposure_share_(exposure_share),
      hooks_(std::move(hooks)),
      timer_(loop),
      watch_(
          loop, store, keys_.orders, kPollDelay,
          [this] { return loaded_ && hooks_.may_act(); },
          [this](const StoreChanges& changes) {
            if (changes.changes.empty()) return;
            changed_ = true;
            Advance();
          },
          [this](const Error&) { changed_ = true; }) {
  store->OnRestored([this] {
    restored_at_ = hooks_.now();
    Stop();
  });
}

void RolloutSync::Tick() {
  Advance();
  timer_.expires_after(kInterval);
  timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) Tick();
  });
}

void RolloutSync::Stop() {
  if (!loaded_ && !loading_) return;
  ++generation_;
  loading_ = loaded_ = changed_ = false;
  listed_at_.reset();
  orders_.clear();
  rollouts_.clear();
  watch_.OnReadFailed();
}

void RolloutSync::Advance() {
  if (!hooks_.may_act()) {
    Stop();
    return;
  }
  const TimePoint now = hooks_.now();
  if (retry_at_.has_value() && now < *retry_at_) {
    // Shares that are known are still confirmed.
  } else if (!loaded_) {
    Load();
  } else if (changed_ || now - *listed_at_ >= kListInterval) {
    ListOrders();
  }
  std::vector<std::string> services;
  for (const auto& [service, rollout] : rollouts_) services.push_back(service);
  for (const std::string& service : services) {
    if (loaded_) AdvanceRollout(service, &rollouts_[service]);
  }
  if (loaded_) ConfirmShares();
}

// Reading.

void RolloutSync::Load() {
  if (loading_) return;
  loading_ = true;
  retry_at_.reset();
  store_->List(keys_.records, [this, generation = generation_](
                                  const Result<StoreListing>& listing) {
    if (generation != generation_) return;
    loading_ = false;
    if (!Ok(listing)) {
      retry_at_ = hooks_.now() + kRetryDelay;
      return;
    }
    OnRecordsListed(Value(listing));
    ListOrders();
  });
}

void RolloutSync::OnRecordsListed(const StoreListing& listing) {
  rollouts_.clear();
  for (const KvEntry& entry : listing.entries) {
    Rollout& rollout = rollouts_[entry.key.substr(keys_.records.size())];
    rollout.stored_revision = entry.mod_revision;
    Result<RolloutRecord> record = DecodeRolloutRecord(entry.value);
    if (Ok(record)) {
      rollout.plan.emplace(exposure_share_, std::move(Value(record)));
    } else {
      Log(LogLevel::kError, "rollout_record_malformed",
          {{"key", entry.key}, {"error", ErrorOf(record).message}});
    }
  }
}

void RolloutSync::ListOrders() {
  if (loading_) return;
  loading_ = true;
  retry_at_.reset();
  changed_ = false;
  store_->List(keys_.orders, [this, generation = generation_](
                                 const Result<StoreListing>& listing) {
    if (generation != generation_) return;
    loading_ = false;
    if (!Ok(listing)) {
      changed_ = loaded_;
      retry_at_ = hooks_.now() + kRetryDelay;
      watch_.OnReadFailed();
      return;
    }
    OnOrdersListed(Value(listing));
    watch_.OnReadSucceeded(Value(listing).store_revision);
  });
}

void RolloutSync::OnOrdersListed(const StoreListing& listing) {
  listed_at_ = hooks_.now();
  loaded_ = true;
  orders_.clear();
  for (const KvEntry& entry : listing.entries) {
    const Result<RolloutOrder> order = hooks_.decode_order(entry);
    const std::string service = entry.key.substr(keys_.orders.size());
    if (!Ok(order) || Value(order).service != service) {
      Log(LogLevel::kError, "rollout_order_malformed",
          {{"key", entry.key},
           {"error", Ok(order) ? "the service is not that of the key"
                               : ErrorOf(order).message}});
      continue;
    }
    orders_[service] = Value(order);
  }
  for (const auto& [service, order] : std::map(orders_)) {
    if (loaded_) Follow(service, order);
  }
}

void RolloutSync::Follow(const std::string& service,
                         const RolloutOrder& order) {
  Rollout& rollout = rollouts_[service];
  if (rollout.is_writing) {
    changed_ = true;
    return;
  }
  std::string base = hooks_.base_version(service, order.target);
  if (base.empty()) base = order.target;
  if (rollout.plan.has_value()) {
    const RolloutRecord& record = rollout.plan->record();
    if (record.order.revision == order.revision) return;
    if (IsSameOrder(record.order, order)) {
      // The position is that of a new era now.
      RolloutRecord renewed = record;
      renewed.order = order;
      ++renewed.step;
      Write(service, renewed);
      return;
    }
    base = record.phase == RolloutPhase::kCompleted ? record.order.target
                                                    : record.base;
  }
  RolloutRecord record = RolloutPlan::Begin(order, std::move(base),
                                            exposure_share_, hooks_.wall_now());
  // The store may have been restored to a copy from before a revert, and the
  // order been written again since.
  const std::optional<RolloutShare> known = hooks_.known_share(service);
  const bool was_reverted = known.has_value() && known->ended &&
                            known->share <= 0 &&
                            known->target == order.target &&
                            store_position::EraOf(known->order) <
                                store_position::EraOf(order.revision);
  if (was_reverted) {
    record.phase = RolloutPhase::kReverted;
    record.share = 0;
    record.reason = "reverted before the store was restored";
  }
  Write(service, record);
}

// Deciding and writing.

void RolloutSync::AdvanceRollout(const std::string& service, Rollout* rollout) {
  if (!rollout->plan.has_value() || rollout->is_writing) return;
  RolloutPlan& plan = *rollout->plan;
  const RolloutOrder& order = plan.record().order;
  for (const auto& [process, counts] : hooks_.evidence(order.revision)) {
    plan.OnEvidence(process, counts);
  }
  const bool may_be_rewritten =
      restored_at_.has_value() && hooks_.now() - *restored_at_ < kRewriteTime;
  const RolloutView view{
      .is_ordered = orders_.count(service) > 0 || may_be_rewritten,
      .target_upstreams = hooks_.usable_count(service, order.target)};
  const std::optional<RolloutRecord> next = plan.Next(view, hooks_.wall_now());
  // Requests to a bad version cease before that is stored.
  if (next.has_value() && next->phase == RolloutPhase::kReverted)
    ConfirmShares();
  const bool must_wait = retry_at_.has_value() && hooks_.now() < *retry_at_;
  if (next.has_value() && !must_wait) Write(service, *next);
}

void RolloutSync::Write(const std::string& service,
                        const RolloutRecord& record) {
  // Checked immediately before the call because the machine may have been
  // suspended since the last check.
  if (!hooks_.may_act()) return;
  Rollout& rollout = rollouts_[service];
  rollout.is_writing = true;
  StoreTransaction transaction;
  transaction.writes = {
      {.key = keys_.records + service,
       .value = EncodeRolloutRecord(record),
       .expected_revision = rollout.stored_revision},
      {.key = keys_.statuses + service,
       .value = hooks_.encode_status(record.phase, record.order.target),
       .expected_revision = kAnyRevision}};
  store_->Commit(transaction, [this, service, record, generation = generation_](
                                  const Result<KvTxnReply>& reply) {
    if (generation == generation_) OnWritten(service, record, reply);
  });
}

void RolloutSync::OnWritten(const std::string& service,
                            const RolloutRecord& record,
                            const Result<KvTxnReply>& reply) {
  Rollout& rollout = rollouts_[service];
  rollout.is_writing = false;
  if (!Ok(reply) || !Value(reply).succeeded) {
    Log(LogLevel::kWarn, "rollout_not_written",
        {{"service", service},
         {"phase", ToString(record.phase)},
         {"step", std::to_string(record.step)},
         {"error",
          Ok(reply) ? "another node was first" : ErrorOf(reply).message}});
    // The record is read again, since the write may have taken effect. A revert
    // that was confirmed stays in force at the nodes, as its step is newer.
    Stop();
    retry_at_ = hooks_.now() + kRetryDelay;
    return;
  }
  rollout.stored_revision = Value(reply).revision;
  if (rollout.plan.has_value() &&
      rollout.plan->record().order.revision == record.order.revision) {
    rollout.plan->OnStored(record);
  } else {
    rollout.plan.emplace(exposure_share_, record);
  }
  LogStep(record);
  ConfirmShares();
}

void RolloutSync::LogStep(const RolloutRecord& record) const {
  Log(LogLevel::kInfo, "rollout_step",
      {{"service", record.order.service},
       {"target", record.order.target},
       {"base", record.base},
       {"order", std::to_string(record.order.revision)},
       {"phase", ToString(record.phase)},
       {"step", std::to_string(record.step)},
       {"share", std::to_string(record.share)},
       {"age_ms", FormatMilliseconds(hooks_.wall_now() - record.began_at)},
       {"evidence", record.reason}});
}

void RolloutSync::ConfirmShares() {
  std::vector<RolloutShare> shares;
  bool is_complete = true;
  for (const auto& [service, rollout] : rollouts_) {
    if (rollout.plan.has_value()) {
      shares.push_back(rollout.plan->CurrentShare());
    } else {
      is_complete = false;
    }
  }
  if (is_complete) {
    shares.push_back({});
    shares.back().share = 1;
  }
  if (!shares.empty()) hooks_.confirm(std::move(shares));
}

}  // namespace pollenledge
