/// @file
/// Target of health probes.
#ifndef COMFREYVANE_ROUTE_PROBE_TARGET_H_
#define COMFREYVANE_ROUTE_PROBE_TARGET_H_

#include <cstdint>

#include "comfreyvane/base/basic_id.h"

namespace comfreyvane {

/// A backend server to which this host sends health probes.
struct ProbeTarget {
  BackendServerId server;
  /// Number of hosts that probe it; see ServerQuota::hosts.
  std::uint32_t hosts = 1;

  friend bool operator==(const ProbeTarget&, const ProbeTarget&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_ROUTE_PROBE_TARGET_H_
