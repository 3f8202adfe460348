#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "pollenledge/request/request.h"
#include "pollenledge/time.h"

namespace pollenledge {

/// The rate limit of one upstream as a node reports it to its peers.
struct RateLimitReport {
  UpstreamId upstream;
  double requests_per_s = 0;  ///< Accepted from all nodes together.
  bool ended = false;         ///< The upstream states no limit any more.
  /// Time since the statement. If `ended`, time since a request was sent whose
  /// response stated no limit.
  Duration age{0};

  friend bool operator==(const RateLimitReport&,
                         const RateLimitReport&) = default;
};

/// How a statement changed what is known of an upstream's rate limit.
enum class RateLimitChange : std::uint8_t { kNone, kBegan, kChanged, kEnded };

/// Returns the name of `change` as used in logs.
const char* ToString(RateLimitChange change);

/// The rate limits that upstreams state in their responses.
///
/// A limit belongs to one incarnation of an upstream and lasts for as long as
/// that states it. Responses can arrive in another order than they were made.
/// A response without a limit, or with a higher one, therefore counts only if
/// its request was sent after the limit was last stated; a lower limit counts
/// at once.
///
/// Peers exchange reports of what they know, and the newer statement counts.
///
/// Deterministic. Not thread-safe. Memory grows with the number of listed
/// upstreams that have a limit.
class UpstreamRateLimits {
 public:
  /// Time for which the end of a limit is reported to peers.
  static constexpr Duration kEndReportTime = std::chrono::seconds(10);
  /// Time for which the limit of an upstream that is not listed is kept, as the
  /// store may list it again.
  static constexpr Duration kUnlistedRetention = std::chrono::minutes(1);

  /// Applies the limit that a response stated; empty if it stated none. The
  /// request was sent to `upstream` at `sent_at`.
  RateLimitChange OnResponse(const UpstreamId& upstream,
                             std::optional<double> requests_per_s,
                             TimePoint sent_at, TimePoint now);
  /// Applies what a peer knows.
  RateLimitChange Merge(const RateLimitReport& report, TimePoint now);
  /// Returns at most `count` reports for peers. Successive calls go through all
  /// limits in turn.
  std::vector<RateLimitReport> NextReports(std::size_t count, TimePoint now);

  /// Returns the requests per second that `upstream` accepts; empty if it has
  /// no limit.
  std::optional<double> LimitOf(const UpstreamId& upstream) const;
  /// Returns the upstreams that have a limit.
  std::vector<UpstreamId> Limited() const;
  /// Forgets the upstreams for which `is_listed` is false for
  /// `kUnlistedRetention` after their last statement, and ends of limits that
  /// peers have had time to learn of.
  void RemoveOutdated(const std::function<bool(const UpstreamId&)>& is_listed,
                      TimePoint now);

 private:
  struct Statement {
    std::uint64_t incarnation = 0;
    std::optional<double> requests_per_s;  ///< Empty: the limit has ended.
    TimePoint stated_at;                   ///< See `RateLimitReport::age`.
  };

  /// Replaces what is known of `upstream` and returns what that changed.
  RateLimitChange Set(const UpstreamId& upstream,
                      std::optional<double> requests_per_s,
                      TimePoint stated_at);

  std::map<std::string, Statement> statements_;  ///< By upstream name.
  std::string last_reported_;  ///< Name in the last report for peers.
};

}  // namespace pollenledge
