#include "pollenledge/connection/store_contact.h"

namespace pollenledge {

void StoreContact::OnResponded(TimePoint sent_at, TimePoint now) {
  if (MayBeAway(now)) recovered_at_ = now;
  failed_ = false;
  if (!last_contact_.has_value() || sent_at > *last_contact_)
    last_contact_ = sent_at;
}

bool StoreContact::MayBeAway(TimePoint now) const {
  return failed_ &&
         (!last_contact_.has_value() || now - *last_contact_ >= min_outage_);
}

}  // namespace pollenledge
