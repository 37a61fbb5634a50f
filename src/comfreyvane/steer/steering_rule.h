/// @file
/// Rules that decide a look-up.
#ifndef COMFREYVANE_STEER_STEERING_RULE_H_
#define COMFREYVANE_STEER_STEERING_RULE_H_

#include <string_view>

namespace comfreyvane {

/// The rule that decided a look-up.
enum class SteeringRule {
  kShare,           ///< The site that holds the client's position.
  kOtherSite,       ///< A fallback site; the first had no capacity.
  kUnknownService,  ///< Refused: no such service.
  kNoSiteUp,        ///< Refused: no site of the service is up.
  kNoRoom,          ///< Refused: no site has leased capacity left.
  kNoHost,          ///< Refused: no entry host is available.
};

/// @return the name in answers, logs and counters, such as "other-site".
[[nodiscard]] std::string_view Name(SteeringRule rule);

}  // namespace comfreyvane

#endif  // COMFREYVANE_STEER_STEERING_RULE_H_
