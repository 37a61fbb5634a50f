/// @file
/// Limits of the HTTP edge.
#ifndef COMFREYVANE_NET_HTTP_LIMITS_H_
#define COMFREYVANE_NET_HTTP_LIMITS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>

#include "comfreyvane/base/time.h"

namespace comfreyvane {

/// Limits on what a caller or a backend server may send, and how slowly.
struct HttpLimits {
  std::size_t header_bytes = 16 * 1024;
  std::uint64_t body_bytes = std::uint64_t{1} << 30;
  Duration header_timeout = std::chrono::seconds(10);
  Duration idle_timeout = std::chrono::seconds(60);
  Duration progress_timeout = std::chrono::seconds(10);

  friend bool operator==(const HttpLimits&, const HttpLimits&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_NET_HTTP_LIMITS_H_
