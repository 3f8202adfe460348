#include "pollenledge/process/retry_budget.h"

#include <algorithm>

namespace pollenledge {

void RetryBudget::OnFirstAttempt(const std::string& pool) {
  double& balance = BalanceOf(pool);
  balance = std::min(kMaxSaved, balance + kRetriesPerAttempt);
}

bool RetryBudget::TryTake(const std::string& pool) {
  double& balance = BalanceOf(pool);
  if (balance < 1) return false;
  balance -= 1;
  return true;
}

double& RetryBudget::BalanceOf(const std::string& pool) {
  return balances_.try_emplace(pool, kMaxSaved).first->second;
}

}  // namespace pollenledge
