/// @file
/// A host that can carry requests of another host to backend servers.
#ifndef COMFREYVANE_EDGE_CARRIER_H_
#define COMFREYVANE_EDGE_CARRIER_H_

#include <cstdint>

#include "comfreyvane/base/time.h"
#include "comfreyvane/edge/fleet_host.h"
#include "comfreyvane/edge/path_group.h"

namespace comfreyvane {

/// A host selected to carry a request, and the evidence for the selection.
struct Carrier {
  FleetHost host;
  std::uint64_t incarnation = 0;
  PathGroup group;        ///< That the host reaches.
  Duration report_age{};  ///< Age of its report that it does.

  friend bool operator==(const Carrier&, const Carrier&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_EDGE_CARRIER_H_
