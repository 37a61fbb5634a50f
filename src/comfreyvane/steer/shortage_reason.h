/// @file
/// Reasons for a shortage of capacity.
#ifndef COMFREYVANE_STEER_SHORTAGE_REASON_H_
#define COMFREYVANE_STEER_SHORTAGE_REASON_H_

#include <string_view>

namespace comfreyvane {

/// Reason why a resource can serve no further answer.
enum class ShortageReason {
  kNotHeld,      ///< This host has no lease on it, or the lease expired.
  kLeaseEnding,  ///< The lease ends before the shortest answer expires.
  kFailed,       ///< The resource is down.
  kFull,         ///< Unexpired answers use the whole leased rate.
  kFairShare,    ///< The rest is kept for workspaces below their share.
};

/// @return the name in answers, logs and counters, such as "lease-ending".
[[nodiscard]] std::string_view Name(ShortageReason reason);

}  // namespace comfreyvane

#endif  // COMFREYVANE_STEER_SHORTAGE_REASON_H_
