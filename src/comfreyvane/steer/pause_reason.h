/// @file
/// Reasons for a pause of a shift.
#ifndef COMFREYVANE_STEER_PAUSE_REASON_H_
#define COMFREYVANE_STEER_PAUSE_REASON_H_

#include <string_view>

namespace comfreyvane {

/// Reason for a pause of a shift.
enum class PauseReason {
  kNoCap,               ///< The declared cap is zero.
  kPeersSilent,         ///< No recent report from a host that may answer.
  kMeasurementMissing,  ///< A site has not been measured yet.
  kMeasurementStale,    ///< A site's last measurement is too old.
  kSiteFailed,          ///< A site of the shift is down.
  kSiteReturning,       ///< Clients of a recovered site are returning.
  kNoHeadroom,          ///< A gaining site lacks headroom for one position.
  kClientAboveCap,      ///< The next position alone exceeds the cap.
};

/// @return the name in answers, logs and counters, such as "site-failed".
[[nodiscard]] std::string_view Name(PauseReason reason);

}  // namespace comfreyvane

#endif  // COMFREYVANE_STEER_PAUSE_REASON_H_
