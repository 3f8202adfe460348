#include "pollenledge/process/fleet_size_sync.h"

#include <charconv>
#include <utility>

#include "pollenledge/connection/loop_clock.h"
#include "pollenledge/process/log.h"
#include "pollenledge/process/membership.h"

namespace pollenledge {
namespace {

/// Maximum node count that is accepted from the store, far more than any fleet
/// has.
constexpr int kMaxNodes = 100'000;

/// Parses the node count from the store. Returns 0 if it is invalid.
int ParseNodes(const std::string& text) {
  int nodes = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, nodes);
  const bool valid = parsed.ec == std::errc() && parsed.ptr == end &&
                     nodes > 0 && nodes <= kMaxNodes;
  if (!valid) {
    Log(LogLevel::kError, "fleet_size_unreadable", {{"text", text}});
    return 0;
  }
  return nodes;
}

}  // namespace

std::optional<int> NextFleetSize(int stored, int known,
                                 Duration holder_uptime) {
  const bool knows_all = holder_uptime > Membership::kForgetTimeout;
  if (known > stored || (known < stored && knows_all)) return known;
  return std::nullopt;
}

FleetSizeSync::FleetSizeSync(boost::asio::io_context& loop, AsyncStore* store,
                             const DutyLease* lease, std::string key,
                             Hooks hooks)
    : store_(store),
      lease_(lease),
      key_(std::move(key)),
      hooks_(std::move(hooks)),
      timer_(loop) {
  store->OnRestored([this] { RunAfter(Duration(0), &FleetSizeSync::Read); });
}

void FleetSizeSync::Start() {
  started_at_ = BootClockNow();
  Read();
}

void FleetSizeSync::Read() {
  store_->Read(key_, [this](const Result<StoreItem>& item) { OnRead(item); });
}

void FleetSizeSync::OnRead(const Result<StoreItem>& item) {
  if (!Ok(item)) {
    RunAfter(kRetryDelay, &FleetSizeSync::Read);
    return;
  }
  const std::optional<KvEntry>& entry = Value(item).entry;
  stored_revision_ = entry.has_value() ? entry->mod_revision : 0;
  stored_nodes_ = entry.has_value() ? ParseNodes(entry->value) : 0;
  Log(LogLevel::kInfo, "fleet_size_read",
      {{"nodes", std::to_string(stored_nodes_)},
       {"revision", std::to_string(stored_revision_)}});
  hooks_.on_read(stored_nodes_);
  RunAfter(kUpdateInterval, &FleetSizeSync::UpdateIfChanged);
}

void FleetSizeSync::UpdateIfChanged() {
  const TimePoint now = BootClockNow();
  if (lease_->MayAct(now)) {
    const std::optional<int> next =
        NextFleetSize(stored_nodes_, hooks_.known_nodes(), now - started_at_);
    if (next.has_value()) {
      Write(*next);
      return;
    }
  }
  RunAfter(kUpdateInterval, &FleetSizeSync::UpdateIfChanged);
}

void FleetSizeSync::Write(int nodes) {
  StoreTransaction transaction;
  transaction.writes = {{.key = key_,
                         .value = std::to_string(nodes),
                         .expected_revision = stored_revision_}};
  store_->Commit(transaction, [this, nodes](const Result<KvTxnReply>& reply) {
    const bool written = Ok(reply) && Value(reply).succeeded;
    Log(written ? LogLevel::kInfo : LogLevel::kWarn, "fleet_size_written",
        {{"nodes", std::to_string(nodes)},
         {"outcome", written     ? "done"
                     : Ok(reply) ? "another node was first"
                                 : ErrorOf(reply).message}});
    // The store is read again to learn what is stored now, even if the
    // response was lost.
    RunAfter(written ? Duration(0) : kRetryDelay, &FleetSizeSync::Read);
  });
}

void FleetSizeSync::RunAfter(Duration delay, void (FleetSizeSync::*next)()) {
  timer_.expires_after(delay);
  timer_.async_wait([this, next](const boost::system::error_code& error) {
    if (!error) (this->*next)();
  });
}

}  // namespace pollenledge
