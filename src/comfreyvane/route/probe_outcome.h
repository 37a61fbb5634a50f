/// @file
/// Outcomes of a health probe.
#ifndef COMFREYVANE_ROUTE_PROBE_OUTCOME_H_
#define COMFREYVANE_ROUTE_PROBE_OUTCOME_H_

namespace comfreyvane {

/// Outcome of a health probe of a backend server.
enum class ProbeOutcome {
  kHealthy,
  kUnhealthy,      ///< The server reports that it is unhealthy.
  kNoAnswer,       ///< Connected, but no response before the timeout.
  kConnectFailed,  ///< No connection could be established.
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_ROUTE_PROBE_OUTCOME_H_
