/// @file
/// JSON form of the membership messages.
#ifndef COMFREYVANE_WIRE_MEMBER_CODEC_H_
#define COMFREYVANE_WIRE_MEMBER_CODEC_H_

#include <json/value.h>

#include <boost/leaf/result.hpp>

#include "comfreyvane/member/member_message.h"

namespace comfreyvane {

/// @return the JSON object of a membership message.
[[nodiscard]] Json::Value ToJson(const MemberMessage& message);

/// @param json what ToJson wrote; unknown, missing and ill-typed members are
/// errors.
/// @return the message, or a WireError.
[[nodiscard]] boost::leaf::result<MemberMessage> MemberMessageFromJson(
    const Json::Value& json);

}  // namespace comfreyvane

#endif  // COMFREYVANE_WIRE_MEMBER_CODEC_H_
