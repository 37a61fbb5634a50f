/// @file
/// JSON forms of steering messages and explanations.
#ifndef COMFREYVANE_WIRE_STEER_CODEC_H_
#define COMFREYVANE_WIRE_STEER_CODEC_H_

#include <json/value.h>

#include <boost/leaf/result.hpp>

#include "comfreyvane/base/time.h"
#include "comfreyvane/steer/fleet_progress.h"
#include "comfreyvane/steer/shift_action.h"
#include "comfreyvane/steer/shift_explanation.h"
#include "comfreyvane/steer/shift_progress.h"
#include "comfreyvane/steer/steering_answer.h"
#include "comfreyvane/steer/steering_decision.h"
#include "comfreyvane/steer/steering_explanation.h"

namespace comfreyvane {

/// Why a JSON value is no steering message. Travels as a Boost.LEAF error
/// object.
enum class SteerWireError {
  kNoObject,        ///< An object was expected.
  kMissingMember,   ///< A member is missing.
  kUnknownMember,   ///< A member is not part of the message.
  kIllTypedMember,  ///< A member has another type or range.
  kNoShareMap,      ///< Runs do not cover each position once.
};

/// @return the progress, identifiers as hexadecimal strings.
[[nodiscard]] Json::Value ToJson(const ShiftProgress& progress);

/// @return a progress whose runs form whole share maps and whose parts add up,
///     or a SteerWireError.
[[nodiscard]] boost::leaf::result<ShiftProgress> ShiftProgressFromJson(
    const Json::Value& json);

/// @param now of the sender; the age travels, as clocks differ.
[[nodiscard]] Json::Value ToJson(const FleetProgress& progress, TimePoint now);

/// @param now of the receiver.
/// @return the progress, or a SteerWireError.
[[nodiscard]] boost::leaf::result<FleetProgress> FleetProgressFromJson(
    const Json::Value& json,
    TimePoint now);

/// @return what a caller gets for a look-up.
[[nodiscard]] Json::Value ToJson(const SteeringAnswer& answer);

/// @return inputs, rule and revision, for operators.
[[nodiscard]] Json::Value ToJson(const SteeringExplanation& explanation);
[[nodiscard]] Json::Value ToJson(const SteeringDecision& decision);
[[nodiscard]] Json::Value ToJson(const ShiftExplanation& explanation);
[[nodiscard]] Json::Value ToJson(const ShiftPaused& pause);
[[nodiscard]] Json::Value ToJson(const ShiftAction& action);

}  // namespace comfreyvane

#endif  // COMFREYVANE_WIRE_STEER_CODEC_H_
