/// @file
/// Gauges of a host.
#ifndef COMFREYVANE_METRICS_GAUGE_NAME_H_
#define COMFREYVANE_METRICS_GAUGE_NAME_H_

#include <cstddef>
#include <string_view>

namespace comfreyvane {

/// One gauge stands for each.
enum class GaugeName {
  kOpenCallerConnections,
  kOpenBackendConnections,
  kRunningRequests,
  kQueuedRequests,
  kLiveHosts,
  kConfigurationRevision,    ///< In force here.
  kConfigurationAgeMs,       ///< Since it was last confirmed as newest.
  kAvailableBackendServers,  ///< That may get work from this host.
  kLeaving,                  ///< 1 while the host stops.
  kAnswerAgeMs,  ///< Since a backend server last answered this host.
};

/// Number of gauge names.
inline constexpr std::size_t kGaugeNameCount =
    static_cast<std::size_t>(GaugeName::kAnswerAgeMs) + 1;

/// @return the name in the metrics text, such as "comfreyvane_live_hosts".
[[nodiscard]] std::string_view Name(GaugeName gauge);

/// @return the help line in the metrics text.
[[nodiscard]] std::string_view Help(GaugeName gauge);

}  // namespace comfreyvane

#endif  // COMFREYVANE_METRICS_GAUGE_NAME_H_
