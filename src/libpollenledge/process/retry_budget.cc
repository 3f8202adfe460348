#include "pollenledge/process/retry_budget.h"

#include <algorithm>

namespace pollenledge {

void RetryBudget::OnFirstAttempt(const std::string& pool) {
  double& balance = BalanceOf(pool);
  balance =
      std::min(options_.max_balance, balance + options_.retries_per_attempt);
}

bool RetryBudget::TryAcquire(const std::string& pool) {
  double& balance = BalanceOf(pool);
  if (balance < 1) return false;
  balance -= 1;
  return true;
}

void RetryBudget::SetMaxBalance(double max_balance) {
  options_.max_balance = max_balance;
  for (auto& [pool, balance] : balances_) {
    balance = std::min(balance, max_balance);
  }
}

double& RetryBudget::BalanceOf(const std::string& pool) {
  return balances_.try_emplace(pool, options_.initial_balance).first->second;
}

}  // namespace pollenledge
