#include "comfreyvane/steer/shortage_reason.h"

namespace comfreyvane {

std::string_view Name(ShortageReason reason) {
  switch (reason) {
    case ShortageReason::kNotHeld:
      return "not-held";
    case ShortageReason::kLeaseEnding:
      return "lease-ending";
    case ShortageReason::kFailed:
      return "failed";
    case ShortageReason::kFull:
      return "full";
    case ShortageReason::kFairShare:
      return "fair-share";
  }
  return "unknown";
}

}  // namespace comfreyvane
