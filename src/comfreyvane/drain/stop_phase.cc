#include "comfreyvane/drain/stop_phase.h"

namespace comfreyvane {

std::string_view Name(StopPhase phase) {
  switch (phase) {
    case StopPhase::kServing:
      return "serving";
    case StopPhase::kLeaving:
      return "leaving";
    case StopPhase::kRefusing:
      return "refusing";
    case StopPhase::kFinishing:
      return "finishing";
    case StopPhase::kStopped:
      return "stopped";
  }
  return "stopped";
}

}  // namespace comfreyvane
