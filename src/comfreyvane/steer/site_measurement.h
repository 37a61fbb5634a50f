/// @file
/// Measurement of a site.
#ifndef COMFREYVANE_STEER_SITE_MEASUREMENT_H_
#define COMFREYVANE_STEER_SITE_MEASUREMENT_H_

#include <cstdint>

#include "comfreyvane/base/basic_id.h"
#include "comfreyvane/base/time.h"

namespace comfreyvane {

/// Load and headroom of a service at a site, as of `measured_at`.
struct SiteMeasurement {
  SiteId site{};
  bool up = true;
  std::int64_t rate = 0;      ///< Arriving requests per second.
  std::int64_t headroom = 0;  ///< Further requests/s that it can serve.
  TimePoint measured_at{};    ///< On the local clock.

  friend bool operator==(const SiteMeasurement&,
                         const SiteMeasurement&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_STEER_SITE_MEASUREMENT_H_
