/// @file
/// Latencies that are recorded.
#ifndef COMFREYVANE_METRICS_LATENCY_NAME_H_
#define COMFREYVANE_METRICS_LATENCY_NAME_H_

#include <cstddef>
#include <string_view>

namespace comfreyvane {

/// One summary stands for each.
enum class LatencyName {
  kRequest,         ///< First byte of a request to last byte of its answer.
  kAddedByHost,     ///< kRequest less the time at the backend server.
  kQueueWait,       ///< In a workspace's queue.
  kBackendAttempt,  ///< One attempt at a backend server.
  kBackendConnect,  ///< One connection to a backend server.
  kLookUp,          ///< One steering look-up.
  kTableCall,       ///< One call to the table service.
  kPeerCall,        ///< One call to a peer.
};

/// Number of latency names.
inline constexpr std::size_t kLatencyNameCount =
    static_cast<std::size_t>(LatencyName::kPeerCall) + 1;

/// @return the name in the metrics text, such as "comfreyvane_request_seconds".
[[nodiscard]] std::string_view Name(LatencyName latency);

/// @return the help line in the metrics text.
[[nodiscard]] std::string_view Help(LatencyName latency);

}  // namespace comfreyvane

#endif  // COMFREYVANE_METRICS_LATENCY_NAME_H_
