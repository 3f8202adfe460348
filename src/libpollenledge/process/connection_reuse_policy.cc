#include "pollenledge/process/connection_reuse_policy.h"

namespace pollenledge {

void ConnectionReusePolicy::OnConnectionLost(const std::string& service,
                                             Duration idle, Duration lost_after,
                                             TimePoint now) {
  if (idle <= kRecentlyUsedTime || lost_after > kImmediateLossTime) return;
  cautious_until_[service] = now + kCautionTime;
}

ConnectionReuse ConnectionReusePolicy::ForSingleRun(const std::string& service,
                                                    TimePoint now) const {
  const auto found = cautious_until_.find(service);
  const bool is_cautious =
      found != cautious_until_.end() && now < found->second;
  return is_cautious ? ConnectionReuse::kRecentlyUsed
                     : ConnectionReuse::kHalfKeepAlive;
}

}  // namespace pollenledge
