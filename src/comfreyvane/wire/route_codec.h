/// @file
/// Messages of package route as JSON.
#ifndef COMFREYVANE_WIRE_ROUTE_CODEC_H_
#define COMFREYVANE_WIRE_ROUTE_CODEC_H_

#include <json/value.h>
#include <boost/leaf/result.hpp>
#include <cstddef>

#include "comfreyvane/route/crash_evidence.h"
#include "comfreyvane/route/peer_use.h"
#include "comfreyvane/route/suspect_cleared.h"

namespace comfreyvane {

/// Why a message of package route was not read. Travels as a Boost.LEAF error.
enum class RouteWireError {
  kNotAnObject,
  kMemberMissing,
  kMemberUnknown,
  kMemberMalformed,
  kTooMany,  ///< A list is longer than any sender makes it.
};

/// Most entries of a list in a message.
inline constexpr std::size_t kMostRouteEntries = 1024;

/// @return the message as a JSON object; identifiers as hexadecimal strings.
[[nodiscard]] Json::Value ToJson(const PeerUse& message);
[[nodiscard]] Json::Value ToJson(const CrashEvidence& message);
[[nodiscard]] Json::Value ToJson(const SuspectCleared& message);

/// @return the message, or a RouteWireError.
[[nodiscard]] boost::leaf::result<PeerUse> PeerUseFromJson(
    const Json::Value& json);
/// @return the message, or a RouteWireError.
[[nodiscard]] boost::leaf::result<CrashEvidence> CrashEvidenceFromJson(
    const Json::Value& json);
/// @return the message, or a RouteWireError.
[[nodiscard]] boost::leaf::result<SuspectCleared> SuspectClearedFromJson(
    const Json::Value& json);

}  // namespace comfreyvane

#endif  // COMFREYVANE_WIRE_ROUTE_CODEC_H_
