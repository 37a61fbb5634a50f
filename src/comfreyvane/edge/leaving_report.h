/// @file
/// A backend server that has said that it leaves.
#ifndef COMFREYVANE_EDGE_LEAVING_REPORT_H_
#define COMFREYVANE_EDGE_LEAVING_REPORT_H_

#include <cstdint>

#include "comfreyvane/base/basic_id.h"
#include "comfreyvane/base/fwd.h"

namespace comfreyvane {

/// A backend server that has said that it leaves.
struct LeavingReport {
  BackendServerId server;
  /// Unix time of the start of the incarnation that leaves, milliseconds.
  std::int64_t started_ms = 0;

  friend bool operator==(const LeavingReport&, const LeavingReport&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_EDGE_LEAVING_REPORT_H_
