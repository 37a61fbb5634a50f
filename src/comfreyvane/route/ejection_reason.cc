#include "comfreyvane/route/ejection_reason.h"

namespace comfreyvane {

std::string_view Name(EjectionReason reason) {
  switch (reason) {
    case EjectionReason::kNone:
      return "none";
    case EjectionReason::kErrors:
      return "errors";
    case EjectionReason::kConnectFailed:
      return "connect-failed";
    case EjectionReason::kCrashed:
      return "crashed";
    case EjectionReason::kProbeFailed:
      return "probe-failed";
  }
  return "unknown";
}

}  // namespace comfreyvane
