#include "pollenledge/process/byte_budget.h"

#include <algorithm>
#include <utility>

namespace pollenledge {
namespace {

constexpr std::int64_t kDefaultMemoryMb = 512;
constexpr std::int64_t kDefaultMaxDescriptors = 4096;
constexpr std::size_t kMegabyte = std::size_t{1024} * 1024;
/// A third of the memory. The process itself takes 15 to 30 MB, an eighth is
/// for connections, and the allocator and copies in progress need some.
constexpr std::size_t kNodeShare = 3;
/// What one connection takes at most without a request: its object, its reader
/// and its entry here.
constexpr std::size_t kConnectionBytes = std::size_t{12} * 1024;
constexpr std::size_t kConnectionMemoryShare = 8;
constexpr std::size_t kMaxOperatorConnections = 64;
constexpr std::size_t kMaxRefusedConnections = 64;
/// Progress is recorded in steps, so that a client that sends a byte at a time
/// counts as one without progress when others need its memory.
constexpr std::size_t kProgressStepBytes = std::size_t{4} * 1024;
/// Number of the longest stalled clients among which the largest is evicted,
/// and of clients that are passed over before an eviction fails.
constexpr int kEvictionCandidates = 16;

}  // namespace

ByteBudgetLimits MakeByteBudgetLimits(std::int64_t memory_mb,
                                      std::int64_t max_fds) {
  const std::size_t memory =
      static_cast<std::size_t>((memory_mb > 0 ? memory_mb : kDefaultMemoryMb)) *
      kMegabyte;
  const auto descriptors =
      static_cast<std::size_t>(max_fds > 0 ? max_fds : kDefaultMaxDescriptors);
  const std::size_t in_memory =
      memory / kConnectionMemoryShare / kConnectionBytes;
  ByteBudgetLimits limits;
  limits.node_bytes = memory / kNodeShare;
  limits.large_request_bytes = limits.node_bytes / 4 * 3;
  limits.customer_bytes = limits.node_bytes / 2;
  // The other half of the descriptors is for upstreams, peers, the store, files
  // and operators.
  limits.connections = {std::min(descriptors / 2, in_memory),
                        std::min(descriptors / 8, in_memory / 4),
                        std::min(descriptors / 8, kMaxOperatorConnections),
                        std::min(descriptors / 32, kMaxRefusedConnections)};
  for (std::size_t& bound : limits.connections)
    bound = std::max<std::size_t>(bound, 1);
  return limits;
}

std::optional<ByteBudget::ClientId> ByteBudget::Open(ClientGroup group,
                                                     Callbacks callbacks,
                                                     TimePoint now) {
  const auto index = static_cast<std::size_t>(group);
  if (connections_[index] >= limits_.connections[index] &&
      !EvictForConnection(group, now)) {
    return std::nullopt;
  }
  const ClientId id = next_id_++;
  Client& client = clients_[id];
  client.group = group;
  client.callbacks = std::move(callbacks);
  client.progress_at = now;
  Order& order = OrderOf(client);
  client.position = order.insert(order.end(), id);
  ++connections_[index];
  return id;
}

void ByteBudget::Close(ClientId id) {
  const auto found = clients_.find(id);
  if (found == clients_.end()) return;
  Client& client = found->second;
  for (std::size_t stage = 0; stage < kStageCount; ++stage)
    Count(&client, static_cast<Stage>(stage), 0);
  OrderOf(client).erase(client.position);
  --connections_[static_cast<std::size_t>(client.group)];
  clients_.erase(found);
}

void ByteBudget::SetCustomer(ClientId id, const std::string& customer) {
  const auto found = clients_.find(id);
  if (found == clients_.end() || found->second.customer == customer) return;
  Client& client = found->second;
  const std::array<std::size_t, kStageCount> bytes = client.bytes;
  for (std::size_t stage = 0; stage < kStageCount; ++stage)
    Count(&client, static_cast<Stage>(stage), 0);
  client.customer = customer;
  for (std::size_t stage = 0; stage < kStageCount; ++stage)
    Count(&client, static_cast<Stage>(stage), bytes[stage]);
}

void ByteBudget::SetActivity(ClientId id, Activity activity, TimePoint now) {
  const auto found = clients_.find(id);
  if (found == clients_.end() || found->second.activity == activity) return;
  Client& client = found->second;
  Order& from = OrderOf(client);
  client.activity = activity;
  client.progress_at = now;
  client.unrecorded_progress = 0;
  client.reprieve = Reprieve::kNone;
  Order& to = OrderOf(client);
  to.splice(to.end(), from, client.position);
}

void ByteBudget::OnProgress(ClientId id, std::size_t bytes, TimePoint now) {
  const auto found = clients_.find(id);
  if (found == clients_.end()) return;
  Client& client = found->second;
  client.unrecorded_progress += bytes;
  if (client.reprieve == Reprieve::kGranted) client.reprieve = Reprieve::kUsed;
  if (client.unrecorded_progress < kProgressStepBytes) return;
  client.unrecorded_progress = 0;
  client.reprieve = Reprieve::kNone;
  RecordProgress(&client, now);
}

void ByteBudget::RecordProgress(Client* client, TimePoint now) {
  client->progress_at = now;
  Order& order = OrderOf(*client);
  order.splice(order.end(), order, client->position);
}

std::size_t ByteBudget::LargeBytes(const Client& client) {
  const std::size_t bytes =
      client.bytes[static_cast<std::size_t>(Stage::kReader)] +
      client.bytes[static_cast<std::size_t>(Stage::kRequest)];
  return bytes > kSmallBytes ? bytes : 0;
}

void ByteBudget::Count(Client* client, Stage stage, std::size_t bytes) {
  std::size_t& held = client->bytes[static_cast<std::size_t>(stage)];
  if (held == bytes) return;
  const bool held_any = client->total > 0;
  large_request_bytes_ -= LargeBytes(*client);
  held_bytes_ -= held;
  client->total -= held;
  const std::size_t before = std::exchange(held, bytes);
  client->total += bytes;
  held_bytes_ += bytes;
  large_request_bytes_ += LargeBytes(*client);
  if (client->customer.empty()) return;
  Customer& customer = customers_[client->customer];
  customer.bytes = customer.bytes - before + bytes;
  if (held_any) --customer.clients;
  if (client->total > 0) ++customer.clients;
  if (customer.clients == 0) customers_.erase(client->customer);
}

bool ByteBudget::IsOverNode() const { return held_bytes_ > limits_.node_bytes; }

bool ByteBudget::IsOverCustomer(const Client& client) const {
  if (client.customer.empty() || client.total <= kSmallBytes) return false;
  const auto found = customers_.find(client.customer);
  return found != customers_.end() && found->second.clients > 1 &&
         found->second.bytes > limits_.customer_bytes;
}

bool ByteBudget::TryHold(ClientId id, Stage stage, std::size_t bytes,
                         TimePoint now) {
  const auto found = clients_.find(id);
  if (found == clients_.end()) return false;
  const std::size_t before =
      found->second.bytes[static_cast<std::size_t>(stage)];
  Count(&found->second, stage, bytes);
  if (bytes <= before || (MakeCustomerRoom(id, now) && MakeNodeRoom(id, now))) {
    return true;
  }
  Count(&clients_.find(id)->second, stage, before);
  return false;
}

bool ByteBudget::Hold(ClientId id, Stage stage, std::size_t bytes,
                      TimePoint now) {
  const auto found = clients_.find(id);
  if (found == clients_.end()) return true;
  const std::size_t before =
      found->second.bytes[static_cast<std::size_t>(stage)];
  Count(&found->second, stage, bytes);
  if (bytes <= before) return true;
  // What a customer's requests hold must not end another one's answer, so only
  // its stalled clients make room.
  MakeCustomerRoom(id, now);
  return MakeNodeRoom(id, now);
}

bool ByteBudget::MakeCustomerRoom(ClientId id, TimePoint now) {
  // An eviction may change `clients_`, but never removes `id`.
  const Client& client = clients_.find(id)->second;
  while (IsOverCustomer(client)) {
    if (!EvictForBytes(id, &client.customer, now)) return false;
  }
  return true;
}

bool ByteBudget::MakeNodeRoom(ClientId id, TimePoint now) {
  const Client& client = clients_.find(id)->second;
  const auto is_over = [&] {
    return IsOverNode() || (LargeBytes(client) > 0 &&
                            large_request_bytes_ > LargeBytes(client) &&
                            large_request_bytes_ > limits_.large_request_bytes);
  };
  while (is_over()) {
    if (!EvictForBytes(id, nullptr, now)) return false;
  }
  return true;
}

bool ByteBudget::EvictForBytes(ClientId keep, const std::string* customer,
                               TimePoint now) {
  if (evicting_) return false;
  for (const Activity activity : {Activity::kReceiving, Activity::kSending}) {
    for (int i = 0; i < kEvictionCandidates; ++i) {
      const ClientId victim = FindLargestStalled(activity, keep, customer, now);
      if (victim == 0) break;
      if (PassOver(victim, now)) continue;
      Evict(victim, Need::kBytes);
      return true;
    }
  }
  return false;
}

ByteBudget::ClientId ByteBudget::FindLargestStalled(Activity activity,
                                                    ClientId keep,
                                                    const std::string* customer,
                                                    TimePoint now) const {
  ClientId victim = 0;
  std::size_t largest = 0;
  for (const auto& orders : orders_) {
    int candidates = 0;
    for (const ClientId id : orders[static_cast<std::size_t>(activity)]) {
      const Client& client = clients_.find(id)->second;
      if (now - client.progress_at < limits_.stall_bound ||
          ++candidates > kEvictionCandidates) {
        break;
      }
      const bool is_eligible =
          id != keep && (customer == nullptr || client.customer == *customer);
      if (!is_eligible || client.total <= largest) continue;
      victim = id;
      largest = client.total;
    }
  }
  return victim;
}

bool ByteBudget::EvictForConnection(ClientGroup group, TimePoint now) {
  if (evicting_) return false;
  const auto& orders = orders_[static_cast<std::size_t>(group)];
  const auto evict_first = [&](Activity activity, Duration stall_bound) {
    return EvictFirst(orders[static_cast<std::size_t>(activity)], stall_bound,
                      now);
  };
  return evict_first(Activity::kClosing, Duration::zero()) ||
         evict_first(Activity::kIdle, Duration::zero()) ||
         evict_first(Activity::kReceiving, limits_.stall_bound) ||
         evict_first(Activity::kSending, limits_.stall_bound);
}

bool ByteBudget::EvictFirst(const Order& order, Duration stall_bound,
                            TimePoint now) {
  // A client that is passed over goes to the end of its order.
  const std::size_t candidates =
      std::min<std::size_t>(order.size(), kEvictionCandidates);
  for (std::size_t i = 0; i < candidates; ++i) {
    const ClientId id = order.front();
    if (now - clients_.find(id)->second.progress_at < stall_bound) return false;
    if (PassOver(id, now)) continue;
    Evict(id, Need::kConnection);
    return true;
  }
  return false;
}

bool ByteBudget::PassOver(ClientId id, TimePoint now) {
  Client& client = clients_.find(id)->second;
  const auto& has_unhandled_progress = client.callbacks.has_unhandled_progress;
  if (client.reprieve == Reprieve::kUsed || has_unhandled_progress == nullptr ||
      !has_unhandled_progress()) {
    return false;
  }
  client.reprieve = Reprieve::kGranted;
  RecordProgress(&client, now);
  return true;
}

void ByteBudget::Evict(ClientId id, Need need) {
  ++evicted_count_;
  const auto found = clients_.find(id);
  // Copied, as the callback may close the client.
  const std::function<void(Need)> evict = found->second.callbacks.evict;
  evicting_ = true;
  evict(need);
  evicting_ = false;
  // A client that keeps its bytes must not be found again and again.
  const auto left = clients_.find(id);
  if (left == clients_.end()) return;
  if (need == Need::kConnection) {
    Close(id);
    return;
  }
  for (std::size_t stage = 0; stage < kStageCount; ++stage)
    Count(&left->second, static_cast<Stage>(stage), 0);
}

}  // namespace pollenledge
