/// @file
/// Share of every limit that a host holds.
#ifndef COMFREYVANE_LIMIT_OWN_SHARE_H_
#define COMFREYVANE_LIMIT_OWN_SHARE_H_

#include <cstdint>

#include "comfreyvane/base/time.h"

namespace comfreyvane {

/// Share of every limit that a host holds, before loans. Passed from the
/// GrantManager to each LimitShard of the host.
struct OwnShare {
  std::int64_t base = 0;  ///< Share units usable without any other host.
  TimePoint base_until;
  std::int64_t dynamic = 0;  ///< Share units that a witness must keep renewing.
  TimePoint dynamic_until;

  friend bool operator==(const OwnShare&, const OwnShare&) = default;

  /// @return the units usable at `now`.
  [[nodiscard]] std::int64_t At(TimePoint now) const {
    return (now < base_until ? base : 0) + (now < dynamic_until ? dynamic : 0);
  }
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_LIMIT_OWN_SHARE_H_
