/// @file
/// Reasons for the choice of a backend server.
#ifndef COMFREYVANE_ROUTE_CHOICE_REASON_H_
#define COMFREYVANE_ROUTE_CHOICE_REASON_H_

#include <cstddef>
#include <string_view>

namespace comfreyvane {

/// Reason why RouteCore chose a backend server for a request.
enum class ChoiceReason {
  kWarm,         ///< Preferred by affinity: equal reads go to the same server.
  kLeastLoaded,  ///< Lowest expected cost among the servers with a free slot.
  kTrial,        ///< Trial request after an ejection.
  kIsolated,     ///< Runs no other request of this host.
};

/// Number of enumerators of ChoiceReason.
inline constexpr std::size_t kChoiceReasonCount =
    static_cast<std::size_t>(ChoiceReason::kIsolated) + 1;

/// @return the name used in logs and metrics, such as "least-loaded".
[[nodiscard]] std::string_view Name(ChoiceReason reason);

}  // namespace comfreyvane

#endif  // COMFREYVANE_ROUTE_CHOICE_REASON_H_
