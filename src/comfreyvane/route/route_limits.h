/// @file
/// Settings of routing.
#ifndef COMFREYVANE_ROUTE_ROUTE_LIMITS_H_
#define COMFREYVANE_ROUTE_ROUTE_LIMITS_H_

#include <cstdint>

#include "comfreyvane/base/time.h"

namespace comfreyvane {

/// Settings of routing.
struct RouteLimits {
  Duration slow_start = std::chrono::seconds(10);
  double initial_ramp = 0.1;  ///< Ramp of a server that has just come.
  std::uint32_t consecutive_errors_to_eject = 3;  ///< In a row.
  double min_success_rate = 0.5;                  ///< Ejected below this rate.
  std::uint32_t min_samples = 10;
  double max_ejected_fraction = 0.5;  ///< Most servers ejected, rounded down.
  Duration base_ejection_time =
      std::chrono::seconds(1);  ///< First; doubles each time.
  Duration max_ejection_time = std::chrono::seconds(60);
  Duration base_shed_backoff =
      std::chrono::milliseconds(20);  ///< Doubles each time.
  Duration max_shed_backoff = std::chrono::seconds(1);
  Duration peer_use_ttl = std::chrono::seconds(2);
  Duration load_report_ttl = std::chrono::seconds(2);
  Duration latency_ttl = std::chrono::seconds(5);
  Duration initial_latency = std::chrono::milliseconds(20);
  Duration reservation_time = std::chrono::seconds(2);
  double max_warm_latency_factor =
      3.0;  ///< Warm but slower than this: not kept.

  friend bool operator==(const RouteLimits&, const RouteLimits&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_ROUTE_ROUTE_LIMITS_H_
