/// @file
/// Limits on requests of callers.
#ifndef COMFREYVANE_SETTINGS_REQUEST_LIMITS_H_
#define COMFREYVANE_SETTINGS_REQUEST_LIMITS_H_

#include <cstdint>

#include "comfreyvane/base/time.h"

namespace comfreyvane {

/// What a caller's request may take.
struct RequestLimits {
  std::uint32_t header_bytes = 16 * 1024;
  std::uint64_t body_bytes = 1024ULL * 1024 * 1024;
  Duration header_timeout = std::chrono::seconds(10);  ///< For the whole head.
  Duration body_timeout = std::chrono::seconds(20);    ///< Between two parts.
  Duration idle_timeout = std::chrono::seconds(60);    ///< Between requests.
  std::uint32_t connections = 10000;                   ///< Open at a time.

  friend bool operator==(const RequestLimits&, const RequestLimits&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_SETTINGS_REQUEST_LIMITS_H_
