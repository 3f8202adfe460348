#pragma once

#include <map>
#include <string>

namespace pollenledge {

/// Configures how many retries a budget allows.
struct RetryBudgetOptions {
  double retries_per_attempt = 0.2;  ///< Earned by each first attempt.
  double max_balance = 10;           ///< Maximum balance of a pool, in retries.
  double initial_balance = 10;       ///< Initial balance of a pool, in retries.

  friend bool operator==(const RetryBudgetOptions&,
                         const RetryBudgetOptions&) = default;
};

/// Limits the retries of each pool to a share of its first attempts, so that a
/// wave of failures does not multiply the load on the remaining upstreams.
///
/// Keeps one token bucket per pool: first attempts fill it, retries drain it. A
/// forwarding node keeps one per service and passes the service as the pool.
/// Not thread-safe.
class RetryBudget {
 public:
  explicit RetryBudget(RetryBudgetOptions options = {}) : options_(options) {}

  const RetryBudgetOptions& options() const { return options_; }
  /// Sets the maximum balance; larger balances are reduced to it at once.
  void SetMaxBalance(double max_balance);

  /// Records a first attempt, which adds to the budget of `pool`.
  void OnFirstAttempt(const std::string& pool);
  /// Acquires one retry from the budget of `pool`. Returns false if the budget
  /// is exhausted.
  bool TryAcquire(const std::string& pool);

 private:
  double& BalanceOf(const std::string& pool);

  RetryBudgetOptions options_;
  std::map<std::string, double> balances_;
};

}  // namespace pollenledge
