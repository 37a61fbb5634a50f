/// @file
/// Reasons for the ejection of a backend server.
#ifndef COMFREYVANE_ROUTE_EJECTION_REASON_H_
#define COMFREYVANE_ROUTE_EJECTION_REASON_H_

#include <cstddef>
#include <string_view>

namespace comfreyvane {

/// Reason why a backend server temporarily receives no requests.
enum class EjectionReason {
  kNone,           ///< Not ejected.
  kErrors,         ///< Requests of this host failed there.
  kConnectFailed,  ///< The server accepts no connections.
  kCrashed,        ///< The server crashed.
  kProbeFailed,    ///< Health probes failed.
};

/// Number of enumerators of EjectionReason, including kNone.
inline constexpr std::size_t kEjectionReasonCount =
    static_cast<std::size_t>(EjectionReason::kProbeFailed) + 1;

/// @return the name used in logs and metrics, such as "connect-failed".
[[nodiscard]] std::string_view Name(EjectionReason reason);

}  // namespace comfreyvane

#endif  // COMFREYVANE_ROUTE_EJECTION_REASON_H_
