#pragma once

#include <map>
#include <string>

namespace pollenledge {

/// How many retries a budget allows.
struct RetryBudgetOptions {
  double retries_per_attempt = 0.2;  ///< For each first attempt.
  double max_saved = 10;             ///< Retries that can be saved up.
  double at_start = 10;              ///< What a new pool begins with.

  friend bool operator==(const RetryBudgetOptions&,
                         const RetryBudgetOptions&) = default;
};

/// Bounds retries to a part of the first attempts, for each pool, so that a
/// wave of failures does not multiply the load on what is left.
///
/// A token bucket that first attempts fill and retries empty. Not thread-safe.
class RetryBudget {
 public:
  explicit RetryBudget(RetryBudgetOptions options = {}) : options_(options) {}

  const RetryBudgetOptions& options() const { return options_; }
  /// Changes how many retries can be saved up; balances shrink to it at once.
  void SetMaxSaved(double max_saved);

  void OnFirstAttempt(const std::string& pool);
  /// Takes one retry from the budget of `pool`. False if there is none left.
  bool TryTake(const std::string& pool);

 private:
  double& BalanceOf(const std::string& pool);

  RetryBudgetOptions options_;
  std::map<std::string, double> balances_;
};

}  // namespace pollenledge
