#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "pollenledge/connection/async_store.h"
#include "pollenledge/process/rollout_plan.h"
#include "pollenledge/process/store_watch.h"

namespace pollenledge {

/// Carries out the roll-outs while this node holds the duty lease: reads the
/// orders from the store, lets a `RolloutPlan` decide about each, stores its
/// steps with the status for the operator, and confirms the shares to the node.
///
/// A step and its status are one transaction on the condition that the record
/// has not changed, so that an earlier holder of the lease cannot overwrite a
/// later one. Other nodes make no calls to the store.
///
/// Runs on the event loop. Not thread-safe; `store` must outlive it.
class RolloutSync {
 public:
  /// Interval at which the holder decides and confirms the shares.
  static constexpr Duration kInterval = std::chrono::milliseconds(250);
  /// Interval at which the orders are listed although the watch shows no
  /// change: the watch's connection may be lost.
  static constexpr Duration kListInterval = std::chrono::seconds(20);
  static constexpr Duration kRetryDelay = std::chrono::milliseconds(500);
  /// After the store was restored from an older copy, orders that are missing
  /// may still be written again within this time.
  static constexpr Duration kRewriteTime = std::chrono::seconds(4);

  struct Keys {
    std::string orders;    ///< Prefix of the orders.
    std::string statuses;  ///< Prefix of what is written for the operator.
    std::string records;   ///< Prefix of the own records.
  };
  struct Hooks {
    std::function<Result<RolloutOrder>(const KvEntry&)> decode_order;
    std::function<std::string(RolloutPhase, const std::string& target)>
        encode_status;
    std::function<WallTime()> wall_now;
    std::function<TimePoint()> now;
    /// True while this node holds the duties.
    std::function<bool()> may_act;
    /// Returns the version that a service's requests go to, other than
    /// `target`; empty if there is none.
    std::function<std::string(const std::string& service,
                              const std::string& target)>
        base_version;
    std::function<int(const std::string& service, const std::string& version)>
        usable_count;
    /// What this node knows of a service's last roll-out from other nodes.
    std::function<std::optional<RolloutShare>(const std::string& service)>
        known_share;
    /// Returns the counts of each process for an order.
    std::function<std::map<std::string, std::vector<RolloutEvidence>>(
        std::int64_t order)>
        evidence;
    /// Receives the shares of all roll-outs and the entry which states that
    /// they are complete.
    std::function<void(std::vector<RolloutShare>)> confirm;
  };

  RolloutSync(boost::asio::io_context& loop, AsyncStore* store, Keys keys,
              double exposure_share, Hooks hooks);

  void Start() { Tick(); }
  /// Decides, stores and confirms what is due. Runs each `kInterval`.
  void Advance();

 private:
  struct Rollout {
    std::optional<RolloutPlan> plan;
    std::int64_t stored_revision = 0;  ///< 0: there is no record.
    bool is_writing = false;
  };

  void Tick();
  /// Forgets everything, since another node may act now.
  void Stop();
  void Load();
  void ListOrders();
  void OnRecordsListed(const StoreListing& listing);
  void OnOrdersListed(const StoreListing& listing);
  /// Begins or goes on with the roll-out that an order asks for.
  void Follow(const std::string& service, const RolloutOrder& order);
  void AdvanceRollout(const std::string& service, Rollout* rollout);
  void Write(const std::string& service, const RolloutRecord& record);
  void OnWritten(const std::string& service, const RolloutRecord& record,
                 const Result<KvTxnReply>& reply);
  void ConfirmShares();
  void LogStep(const RolloutRecord& record) const;

  AsyncStore* store_;
  Keys keys_;
  double exposure_share_;
  Hooks hooks_;
  boost::asio::steady_timer timer_;
  StoreWatch watch_;
  /// Incremented when the duties are lost; later responses are ignored.
  std::uint64_t generation_ = 0;
  bool loading_ = false;
  bool loaded_ = false;   ///< The records and orders were read.
  bool changed_ = false;  ///< The watch showed a change of the orders.
  std::optional<TimePoint> listed_at_;
  std::optional<TimePoint> retry_at_;
  std::optional<TimePoint> restored_at_;
  std::map<std::string, RolloutOrder> orders_;  ///< By service.
  std::map<std::string, Rollout> rollouts_;     ///< By service.
};

}  // namespace pollenledge
