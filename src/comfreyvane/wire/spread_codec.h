/// @file
/// JSON form of the messages that spread configurations.
#ifndef COMFREYVANE_WIRE_SPREAD_CODEC_H_
#define COMFREYVANE_WIRE_SPREAD_CODEC_H_

#include <json/value.h>

#include <boost/leaf/result.hpp>

#include "comfreyvane/spread/apply_result.h"
#include "comfreyvane/spread/freshness_message.h"
#include "comfreyvane/spread/operator_request.h"
#include "comfreyvane/spread/spread_message.h"

namespace comfreyvane {

/// @return the JSON object of a message of SpreadCore.
[[nodiscard]] Json::Value ToJson(const SpreadMessage& message);

/// @return the JSON object of a message of FreshnessCore.
[[nodiscard]] Json::Value ToJson(const FreshnessMessage& message);

/// @return the JSON object of a change, as it is passed on to an acceptor.
[[nodiscard]] Json::Value ToJson(const OperatorRequest& request);

/// @return the JSON object of the answer to a change.
[[nodiscard]] Json::Value ToJson(const ApplyResult& result);

/// @param json what ToJson wrote; unknown, missing and ill-typed members are
/// errors.
/// @return the message, or a WireError.
[[nodiscard]] boost::leaf::result<SpreadMessage> SpreadMessageFromJson(
    const Json::Value& json);

/// @return the message, or a WireError.
[[nodiscard]] boost::leaf::result<FreshnessMessage> FreshnessMessageFromJson(
    const Json::Value& json);

/// @return the change, or a WireError.
[[nodiscard]] boost::leaf::result<OperatorRequest> OperatorRequestFromJson(
    const Json::Value& json);

/// @return the answer, or a WireError.
[[nodiscard]] boost::leaf::result<ApplyResult> ApplyResultFromJson(
    const Json::Value& json);

}  // namespace comfreyvane

#endif  // COMFREYVANE_WIRE_SPREAD_CODEC_H_
