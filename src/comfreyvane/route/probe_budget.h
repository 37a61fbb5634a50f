/// @file
/// What health probes may cost a backend server.
#ifndef COMFREYVANE_ROUTE_PROBE_BUDGET_H_
#define COMFREYVANE_ROUTE_PROBE_BUDGET_H_

#include "comfreyvane/base/time.h"

namespace comfreyvane {

/// What health probes may cost a backend server.
struct ProbeBudget {
  Duration cost = std::chrono::milliseconds(6);  ///< Of one probe.
  double max_utilization = 0.02;  ///< Of a second a second, over all hosts.
  Duration min_interval = std::chrono::seconds(1);

  friend bool operator==(const ProbeBudget&, const ProbeBudget&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_ROUTE_PROBE_BUDGET_H_
