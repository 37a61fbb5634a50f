/// @file
/// Load expected from one answer.
#ifndef COMFREYVANE_STEER_SERVICE_DEMAND_H_
#define COMFREYVANE_STEER_SERVICE_DEMAND_H_

#include <cstdint>

#include "comfreyvane/base/basic_id.h"

namespace comfreyvane {

/// Expected load of the clients that share one answer, until it expires.
struct ServiceDemand {
  std::int64_t rate = 1000;       ///< Thousandths of a request per second.
  std::int64_t link_bits = 8000;  ///< Bit/s on a link between regions.

  friend bool operator==(const ServiceDemand&, const ServiceDemand&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_STEER_SERVICE_DEMAND_H_
