/// @file
/// Limits on requests of callers.
#ifndef COMFREYVANE_EDGE_CALLER_LIMITS_H_
#define COMFREYVANE_EDGE_CALLER_LIMITS_H_

#include <cstdint>

#include "comfreyvane/base/time.h"

namespace comfreyvane {

/// Limits on the size and timing of callers' requests, from the configuration.
struct CallerLimits {
  std::uint64_t header_bytes = 16 * 1024;
  std::uint64_t body_bytes = std::uint64_t{64} * 1024 * 1024;
  Duration header_timeout = std::chrono::seconds(3);
  Duration idle_timeout = std::chrono::seconds(15);

  friend bool operator==(const CallerLimits&, const CallerLimits&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_EDGE_CALLER_LIMITS_H_
