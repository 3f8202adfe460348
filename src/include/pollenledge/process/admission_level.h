#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include "pollenledge/time.h"

namespace pollenledge {

/// Requests of one service that are admitted alike: those of one priority and
/// one route. Ordered by urgency, the most urgent first.
struct AdmissionClass {
  int priority = 5;   ///< 0 is the most urgent.
  std::string route;  ///< Name of the route, which is the request's kind.

  friend auto operator<=>(const AdmissionClass&,
                          const AdmissionClass&) = default;
};

/// What one node saw lately of one class, as rates and moving averages. A
/// report replaces the sender's earlier one, so that lost, repeated and late
/// reports do no harm.
struct ClassDemand {
  AdmissionClass key;
  double target_s = 0;        ///< For the first event.
  double offered_per_s = 0;   ///< Requests that arrived, refused ones too.
  double refused_per_s = 0;   ///< Of these, refused by the admission level.
  double answered_per_s = 0;  ///< First events.
  double unanswered = 0;      ///< Admitted requests without a first event.
  double running = 0;         ///< Requests whose response has begun.
  /// Time from sending to the first event when there is no wait for a slot: a
  /// low quantile.
  double first_event_s = 0;
  double slot_s = 0;           ///< Mean time for which a request uses a slot.
  double prompt_tokens = 0;    ///< Mean of a request.
  double response_tokens = 0;  ///< Mean of a complete response.
  /// Mean of the logarithm of the response's tokens over the hinted ones.
  double hint_error = 0;

  friend bool operator==(const ClassDemand&, const ClassDemand&) = default;
};

/// Work that one customer asked of a service lately.
struct CustomerLoad {
  std::string customer;
  double load = 0;  ///< Slots that its requests would use on average.

  friend bool operator==(const CustomerLoad&, const CustomerLoad&) = default;
};

/// What one node reports of one service to those that compute the level.
struct AdmissionDemand {
  std::string service;
  std::vector<ClassDemand> classes;
  std::vector<CustomerLoad> customers;  ///< The largest ones.

  friend bool operator==(const AdmissionDemand&,
                         const AdmissionDemand&) = default;
};

/// The part of a class that is admitted, and what the position of its requests
/// is computed from.
struct ClassShare {
  AdmissionClass key;
  /// Requests with a position below it are admitted; 1 admits all.
  double share = 1;
  double predicted_first_event_s = 0;  ///< Of a request that arrives now.
  double prompt_tokens = 0;            ///< Mean of a request.
  double response_tokens = 0;          ///< Mean of a response.
  /// Part of the mean slot time that passes before the first event.
  double read_share = 0;
  /// Factor by which responses are longer than their hints.
  double hint_factor = 1;

  friend bool operator==(const ClassShare&, const ClassShare&) = default;
};

/// A customer that asks more than it usually does.
struct HotCustomer {
  std::string customer;
  double excess = 1;  ///< Its share of the demand over its usual one.

  friend bool operator==(const HotCustomer&, const HotCustomer&) = default;
};

/// The admission level of a service. All nodes that have the same version of it
/// take the same decision about a request.
struct AdmissionLevel {
  std::string service;
  /// Wall-clock time of the computation in milliseconds; the highest counts.
  std::uint64_t version = 0;
  double level = 1;      ///< Part of the offered work that is admitted.
  double pressure = 0;   ///< Predicted first event over target, worst class.
  Duration age{0};       ///< Since the computation.
  Duration clearing{0};  ///< Time in which the work that waits is served.
  /// By urgency. Empty unless requests are refused or nearly so.
  std::vector<ClassShare> classes;
  std::vector<HotCustomer> hot_customers;

  friend bool operator==(const AdmissionLevel&,
                         const AdmissionLevel&) = default;
};

}  // namespace pollenledge
