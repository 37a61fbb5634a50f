/// @file
/// Budget of the health probes of a backend server.
#ifndef COMFREYVANE_ROUTE_PROBE_BUDGET_H_
#define COMFREYVANE_ROUTE_PROBE_BUDGET_H_

#include "comfreyvane/base/time.h"

namespace comfreyvane {

/// Bounds the load that health probes put on a backend server.
struct ProbeBudget {
  /// Server time that one probe takes.
  Duration cost = std::chrono::milliseconds(6);
  /// Fraction of the server's time that the probes of all hosts may take.
  double max_utilization = 0.02;
  /// Lower bound of the interval between two probes of one host.
  Duration min_interval = std::chrono::seconds(1);

  friend bool operator==(const ProbeBudget&, const ProbeBudget&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_ROUTE_PROBE_BUDGET_H_
