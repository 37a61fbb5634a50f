/// @file
/// Workspace configuration of the edge.
#ifndef COMFREYVANE_EDGE_EDGE_WORKSPACE_H_
#define COMFREYVANE_EDGE_EDGE_WORKSPACE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "comfreyvane/base/basic_id.h"
#include "comfreyvane/base/fwd.h"

namespace comfreyvane {

/// A customer with its keys and its rate limit, which applies to all hosts
/// together.
struct EdgeWorkspace {
  std::string name;
  std::vector<std::string> keys;
  /// 0 is the most urgent; compared before the route's.
  std::uint32_t priority = 0;
  double rate = 0.0;   ///< Requests/s; 0: no limit.
  double burst = 0.0;  ///< Requests.
  /// Regions where it may be served; empty: all.
  std::vector<RegionId> regions;

  friend bool operator==(const EdgeWorkspace&, const EdgeWorkspace&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_EDGE_EDGE_WORKSPACE_H_
