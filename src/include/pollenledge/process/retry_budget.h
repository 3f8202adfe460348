#pragma once

#include <map>
#include <string>

namespace pollenledge {

/// Bounds retries to a part of the first attempts, for each pool, so that a
/// wave of failures does not multiply the load on what is left.
///
/// A token bucket that first attempts fill and retries empty. Not thread-safe.
class RetryBudget {
 public:
  /// Retries allowed for each first attempt.
  static constexpr double kRetriesPerAttempt = 0.2;
  /// Retries that can be saved up, and that a new pool starts with.
  static constexpr double kMaxSaved = 10;

  void OnFirstAttempt(const std::string& pool);
  /// Takes one retry from the budget of `pool`. False if there is none left.
  bool TryTake(const std::string& pool);

 private:
  double& BalanceOf(const std::string& pool);

  std::map<std::string, double> balances_;
};

}  // namespace pollenledge
