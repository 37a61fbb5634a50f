/// @file
/// Asks a host where to connect.
#ifndef TESTS_SOAK_LOOK_UP_H_
#define TESTS_SOAK_LOOK_UP_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "comfreyvane/base/time.h"

namespace comfreyvane::soak {

/// Where callers may connect to.
struct LookUpAnswer {
  std::vector<std::uint16_t> ports;  ///< Of hosts, for callers.
  Duration time_to_live{};

  friend bool operator==(const LookUpAnswer&, const LookUpAnswer&) = default;
};

/// @param port for look-ups, of a host.
/// @return nothing if it does not answer within a second, or names no host.
[[nodiscard]] std::optional<LookUpAnswer> AskForHosts(std::uint16_t port);

}  // namespace comfreyvane::soak

#endif  // TESTS_SOAK_LOOK_UP_H_
