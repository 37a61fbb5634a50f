/// @file
/// A host of the fleet.
#ifndef COMFREYVANE_EDGE_FLEET_HOST_H_
#define COMFREYVANE_EDGE_FLEET_HOST_H_

#include <cstdint>
#include <string>

#include "comfreyvane/base/basic_id.h"
#include "comfreyvane/base/fwd.h"

namespace comfreyvane {

/// A host as it lists itself in the store.
struct FleetHost {
  std::string name;
  std::string region;
  std::string failure_domain;
  std::string caller_address;    ///< "IP:port" for callers.
  std::string peer_address;      ///< IP address for peers.
  std::uint16_t peer_port = 0;   ///< Of heartbeats, UDP, and relays, TCP.
  double processor_share = 0.0;  ///< Part of a core; 0: not known.

  [[nodiscard]] HostId id() const { return HostId::Of(name); }

  friend bool operator==(const FleetHost&, const FleetHost&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_EDGE_FLEET_HOST_H_
