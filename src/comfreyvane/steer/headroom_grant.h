/// @file
/// Lease on a fraction of a resource's capacity.
#ifndef COMFREYVANE_STEER_HEADROOM_GRANT_H_
#define COMFREYVANE_STEER_HEADROOM_GRANT_H_

#include <cstdint>

#include "comfreyvane/base/basic_id.h"
#include "comfreyvane/base/time.h"
#include "comfreyvane/steer/fwd.h"

namespace comfreyvane {

/// A fraction of a resource's capacity leased to this host. The grants of one
/// resource over all hosts add up to at most its capacity.
struct HeadroomGrant {
  ResourceId resource{};
  /// Thousandths of a request per second; for a link, bit/s.
  std::int64_t rate = 0;
  /// End of the lease on the local clock, less the bound on clock drift.
  TimePoint expires{};

  friend bool operator==(const HeadroomGrant&, const HeadroomGrant&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_STEER_HEADROOM_GRANT_H_
