/// @file
/// Lease lifetimes and clock bounds.
#ifndef COMFREYVANE_LIMIT_LEASE_TERMS_H_
#define COMFREYVANE_LIMIT_LEASE_TERMS_H_

#include "comfreyvane/base/time.h"

namespace comfreyvane {

/// Lease lifetimes and clock bounds. Must be the same on all hosts of a fleet.
struct LeaseTerms {
  /// Lifetime of a loan between hosts after its last renewal.
  Duration loan_lifetime = std::chrono::milliseconds(1000);
  /// Lifetime of a witness's renewal of the dynamic units of a grant.
  Duration renewal_lifetime = std::chrono::milliseconds(1500);
  /// Lifetime of a grant after its holder last wrote it to the table.
  Duration grant_lifetime = std::chrono::minutes(75);
  /// Time between renewals of a grant in the table.
  Duration grant_renewal_interval = std::chrono::minutes(5);
  /// Mean time between reads of the share table.
  Duration table_poll_interval = std::chrono::seconds(5);
  /// The rates of any two clocks differ by at most 1 / drift_divisor.
  std::int64_t drift_divisor = 1000;
  /// Added by the granter of a lease to the bound that follows from drift.
  Duration margin = std::chrono::milliseconds(10);

  friend bool operator==(const LeaseTerms&, const LeaseTerms&) = default;
};

/// @return the time on the granter's clock by which a lease granted at `now`
/// has expired. The holder counts the lifetime from a moment before `now`.
[[nodiscard]] inline TimePoint LatestExpiry(const LeaseTerms& terms,
                                            TimePoint now,
                                            Duration lifetime) {
  return now + lifetime + 2 * lifetime / terms.drift_divisor + terms.margin;
}

/// @return the part of a remaining lifetime that another host can safely use,
/// counted from a moment before the lifetime was stated.
[[nodiscard]] inline Duration SafeLifetime(const LeaseTerms& terms,
                                           Duration remaining) {
  return remaining - 2 * remaining / terms.drift_divisor - terms.margin;
}

}  // namespace comfreyvane

#endif  // COMFREYVANE_LIMIT_LEASE_TERMS_H_
