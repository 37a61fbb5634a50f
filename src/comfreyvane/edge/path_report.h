/// @file
/// Report of a host on its path to backend servers.
#ifndef COMFREYVANE_EDGE_PATH_REPORT_H_
#define COMFREYVANE_EDGE_PATH_REPORT_H_

#include "comfreyvane/base/time.h"
#include "comfreyvane/edge/path_group.h"

namespace comfreyvane {

/// A host's evidence that it reaches a group of backend servers.
struct PathReport {
  PathGroup group;
  Duration age{};  ///< Since a server of the group answered the host.

  friend bool operator==(const PathReport&, const PathReport&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_EDGE_PATH_REPORT_H_
