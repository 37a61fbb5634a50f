/// @file
/// Lengths of leases and bounds on clocks.
#ifndef COMFREYVANE_LIMIT_LEASE_TERMS_H_
#define COMFREYVANE_LIMIT_LEASE_TERMS_H_

#include "comfreyvane/base/time.h"

namespace comfreyvane {

/// Lengths of leases and bounds on clocks, alike on all hosts of a fleet.
struct LeaseTerms {
  /// A loan between hosts ends so long after it was last renewed.
  Duration loan_lifetime = std::chrono::milliseconds(1000);
  /// The dynamic part of a grant ends so long after a guardian renewed it.
  Duration renewal_lifetime = std::chrono::milliseconds(1500);
  /// A grant of the store ends so long after its holder wrote it.
  Duration grant_lifetime = std::chrono::minutes(75);
  /// Time between a holder's writes.
  Duration grant_renewal_interval = std::chrono::minutes(5);
  /// Time between reads of the table of shares.
  Duration table_poll_interval = std::chrono::seconds(5);
  /// Any two clocks differ by at most one part in so many.
  std::int64_t drift_divisor = 1000;
  /// Added by a granter to what drift alone renewal_requests.
  Duration margin = std::chrono::milliseconds(10);

  friend bool operator==(const LeaseTerms&, const LeaseTerms&) = default;
};

/// @return when a lease that a granter gives at `now` has surely ended, on the
/// granter's clock. The holder counts its lifetime from a moment before `now`.
[[nodiscard]] inline TimePoint LatestExpiry(const LeaseTerms& terms,
                                            TimePoint now,
                                            Duration lifetime) {
  return now + lifetime + 2 * lifetime / terms.drift_divisor + terms.margin;
}

/// @return a remaining lifetime as another host may count it, from a moment
/// before it was stated.
[[nodiscard]] inline Duration SafeLifetime(const LeaseTerms& terms,
                                           Duration remaining) {
  return remaining - 2 * remaining / terms.drift_divisor - terms.margin;
}

}  // namespace comfreyvane

#endif  // COMFREYVANE_LIMIT_LEASE_TERMS_H_
