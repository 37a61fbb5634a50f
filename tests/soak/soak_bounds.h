/// @file
/// Bounds that the platform states, which the soak checks.
#ifndef TESTS_SOAK_SOAK_BOUNDS_H_
#define TESTS_SOAK_SOAK_BOUNDS_H_

#include <chrono>

#include "comfreyvane/base/time.h"

namespace comfreyvane::soak {

/// Time from SIGTERM to SIGKILL.
inline constexpr Duration kGrace = std::chrono::seconds(6);
/// Time after which an accepted configuration is in force.
inline constexpr Duration kConfigurationBound = std::chrono::milliseconds(2500);
/// Time after which a leaving server gets no more requests.
inline constexpr Duration kDrainBound = std::chrono::milliseconds(2500);
/// Time without trouble after which bounds in time hold again.
inline constexpr Duration kStableWindow = std::chrono::seconds(3);
/// Time after which a request that was sent counts as read.
inline constexpr Duration kLossSlack = std::chrono::milliseconds(200);
/// Time after its deadline by which a request is answered.
inline constexpr Duration kAnswerSlack = std::chrono::milliseconds(500);

}  // namespace comfreyvane::soak

#endif  // TESTS_SOAK_SOAK_BOUNDS_H_
