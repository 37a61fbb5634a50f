/// @file
/// Constants for the authentication of calls for changes.
#ifndef COMFREYVANE_GATEWAY_RELAY_HEADER_H_
#define COMFREYVANE_GATEWAY_RELAY_HEADER_H_

#include <string_view>

namespace comfreyvane {

/// Header field with the authentication code of a call's target.
inline constexpr std::string_view kRelayAuthHeader = "X-Comfreyvane-Code";

/// Stamp of calls; that of an answer is the target of its call.
inline constexpr std::string_view kRelayCallStamp = "relay-call";

}  // namespace comfreyvane

#endif  // COMFREYVANE_GATEWAY_RELAY_HEADER_H_
