/// @file
/// A workspace of the edge.
#ifndef COMFREYVANE_EDGE_EDGE_WORKSPACE_H_
#define COMFREYVANE_EDGE_EDGE_WORKSPACE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "comfreyvane/base/basic_id.h"
#include "comfreyvane/base/fwd.h"

namespace comfreyvane {

/// A customer with its keys and its limit over all hosts together.
struct EdgeWorkspace {
  std::string name;
  std::vector<std::string> keys;
  std::uint32_t priority = 0;     ///< 0 is the most urgent; before the route's.
  double rate = 0.0;              ///< Requests/s; 0: no limit.
  double burst = 0.0;             ///< Requests.
  std::vector<RegionId> regions;  ///< Where it may be served; empty: anywhere.

  friend bool operator==(const EdgeWorkspace&, const EdgeWorkspace&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_EDGE_EDGE_WORKSPACE_H_
