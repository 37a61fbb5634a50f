/// @file
/// Phases of a planned stop.
#ifndef COMFREYVANE_DRAIN_STOP_PHASE_H_
#define COMFREYVANE_DRAIN_STOP_PHASE_H_

#include <string_view>

namespace comfreyvane {

/// Phases of a planned stop of a host, in order.
enum class StopPhase {
  kServing,    ///< No stop has been requested.
  kLeaving,    ///< Announced; still serves callers with cached answers.
  kRefusing,   ///< Refuses new requests and returns leases.
  kFinishing,  ///< Waits only for running requests.
  kStopped,    ///< No request is running; the process may exit.
};

/// @return the name in logs and answers, such as "leaving".
[[nodiscard]] std::string_view Name(StopPhase phase);

}  // namespace comfreyvane

#endif  // COMFREYVANE_DRAIN_STOP_PHASE_H_
