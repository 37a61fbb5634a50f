#include "comfreyvane/steer/pause_reason.h"

namespace comfreyvane {

std::string_view Name(PauseReason reason) {
  switch (reason) {
    case PauseReason::kNoCap:
      return "no-cap";
    case PauseReason::kPeersSilent:
      return "peers-silent";
    case PauseReason::kMeasurementMissing:
      return "measurement-missing";
    case PauseReason::kMeasurementStale:
      return "measurement-stale";
    case PauseReason::kSiteFailed:
      return "site-failed";
    case PauseReason::kSiteReturning:
      return "site-returning";
    case PauseReason::kNoHeadroom:
      return "no-headroom";
    case PauseReason::kClientAboveCap:
      return "client-above-cap";
  }
  return "unknown";
}

}  // namespace comfreyvane
