/// @file
/// Settings of routing.
#ifndef COMFREYVANE_ROUTE_ROUTE_LIMITS_H_
#define COMFREYVANE_ROUTE_ROUTE_LIMITS_H_

#include <cstdint>

#include "comfreyvane/base/time.h"

namespace comfreyvane {

/// Settings of routing.
struct RouteLimits {
  /// Time in which a new or returning server ramps up to all of its slots.
  Duration slow_start = std::chrono::seconds(10);
  /// Fraction of the slots at the start of the ramp.
  double initial_ramp = 0.1;
  std::uint32_t consecutive_errors_to_eject = 3;
  double min_success_rate = 0.5;  ///< A server below this rate is ejected.
  /// Number of samples before min_success_rate applies.
  std::uint32_t min_samples = 10;
  /// Maximum fraction of the servers that are ejected, rounded down.
  double max_ejected_fraction = 0.5;
  /// Duration of the first ejection; doubles with each consecutive one.
  Duration base_ejection_time = std::chrono::seconds(1);
  Duration max_ejection_time = std::chrono::seconds(60);
  /// Time without new requests after a server has shed one; doubles each time.
  Duration base_shed_backoff = std::chrono::milliseconds(20);
  Duration max_shed_backoff = std::chrono::seconds(1);
  Duration peer_use_ttl = std::chrono::seconds(2);
  Duration load_report_ttl = std::chrono::seconds(2);
  /// Age at which the latency estimate of an idle server is reset to the mean.
  Duration latency_ttl = std::chrono::seconds(5);
  Duration initial_latency = std::chrono::milliseconds(20);
  /// Time for which a server is reserved for an isolated request.
  Duration reservation_time = std::chrono::seconds(2);
  /// A server is not preferred by affinity if its latency exceeds the mean by
  /// more than this factor.
  double max_warm_latency_factor = 3.0;

  friend bool operator==(const RouteLimits&, const RouteLimits&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_ROUTE_ROUTE_LIMITS_H_
