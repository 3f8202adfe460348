#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "pollenledge/process/prompt_cache_report.h"
#include "pollenledge/time.h"

namespace pollenledge {

/// Distributes changes of the retained prompts: keeps the latest changes and
/// composes, for each recipient, bounded reports of those that it has not been
/// sent yet. Datagrams may be lost; a lost change is repeated while the segment
/// is in use, see `PromptCacheDirectory`.
///
/// Memory is bounded: the oldest changes are dropped, and recipients that
/// received nothing for `kRecipientTime` are forgotten. Not thread-safe.
class PromptCacheReports {
 public:
  /// Eight seconds of full reports: older changes are not worth their bytes.
  static constexpr std::size_t kMaxChanges = 1024;
  /// Changes in one report, 8 bytes each. At four reports a second these are
  /// 1 KB a second from each of two collectors.
  static constexpr std::size_t kMaxChangesPerReport = 32;
  /// Interval at which a recipient is told which upstreams are followed.
  static constexpr Duration kFollowedInterval = std::chrono::seconds(5);
  static constexpr Duration kRecipientTime = std::chrono::seconds(60);

  /// Records a change that `origin` reported; `origin` is empty if this node
  /// learnt it from an upstream.
  void Record(const PromptCacheChange& change, const std::string& origin);

  /// Returns the changes to send to `recipient` now. If `own_only`, changes
  /// that other nodes reported are left out.
  PromptCacheReport Next(const std::string& recipient, bool own_only,
                         const std::vector<std::uint32_t>& followed,
                         TimePoint now);

 private:
  struct Logged {
    PromptCacheChange change;
    std::string origin;
  };
  struct Recipient {
    std::uint64_t next = 0;  ///< Position of the next change to send.
    TimePoint followed_told_at;
    TimePoint last_sent_at;
  };

  std::deque<Logged> log_;
  std::uint64_t first_ = 0;  ///< Position of the first change in `log_`.
  /// By name and whether they get only own changes.
  std::map<std::pair<std::string, bool>, Recipient> recipients_;
};

}  // namespace pollenledge
