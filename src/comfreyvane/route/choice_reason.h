/// @file
/// Why a backend server was chosen.
#ifndef COMFREYVANE_ROUTE_CHOICE_REASON_H_
#define COMFREYVANE_ROUTE_CHOICE_REASON_H_

#include <cstddef>
#include <string_view>

namespace comfreyvane {

/// Why a backend server was chosen.
enum class ChoiceReason {
  kWarm,         ///< It has answered the same read before, or will from now on.
  kLeastLoaded,  ///< Lowest expected cost among those with free_slots.
  kTrial,        ///< It returns from ejection and this request tries it.
  kIsolated,     ///< It runs nothing else of this host.
};

/// Number of choice reasons.
inline constexpr std::size_t kChoiceReasonCount =
    static_cast<std::size_t>(ChoiceReason::kIsolated) + 1;

/// @return the name in logs and counters, such as "least-loaded".
[[nodiscard]] std::string_view Name(ChoiceReason reason);

}  // namespace comfreyvane

#endif  // COMFREYVANE_ROUTE_CHOICE_REASON_H_
