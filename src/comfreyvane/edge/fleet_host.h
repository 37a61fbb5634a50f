/// @file
/// Store entry of a host of the fleet.
#ifndef COMFREYVANE_EDGE_FLEET_HOST_H_
#define COMFREYVANE_EDGE_FLEET_HOST_H_

#include <cstdint>
#include <string>

#include "comfreyvane/base/basic_id.h"
#include "comfreyvane/base/fwd.h"

namespace comfreyvane {

/// Entry with which a host registers itself in the store.
struct FleetHost {
  std::string name;
  std::string region;
  std::string failure_domain;
  std::string caller_address;    ///< Address for callers, "IP:port".
  std::string peer_address;      ///< IP address for peers.
  std::uint16_t peer_port = 0;   ///< UDP for heartbeats, TCP for relays.
  double processor_share = 0.0;  ///< Fraction of a core; 0: unknown.

  [[nodiscard]] HostId id() const { return HostId::Of(name); }

  friend bool operator==(const FleetHost&, const FleetHost&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_EDGE_FLEET_HOST_H_
