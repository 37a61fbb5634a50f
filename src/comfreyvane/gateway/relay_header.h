/// @file
/// Constants for the authentication of calls for changes.
#ifndef COMFREYVANE_GATEWAY_RELAY_HEADER_H_
#define COMFREYVANE_GATEWAY_RELAY_HEADER_H_

#include <string_view>

namespace comfreyvane {

/// Header field with the authentication code of a call's target.
inline constexpr std::string_view kRelayAuthHeader = "X-Comfreyvane-Code";

/// Header field of a call with the encoding that its sender accepts, and of an
/// answer in that encoding. Earlier builds ignore it.
inline constexpr std::string_view kRelayEncodingHeader =
    "X-Comfreyvane-Encoding";
inline constexpr std::string_view kRelayDeflate = "deflate";

/// Stamp of calls; that of an answer is the target of its call.
inline constexpr std::string_view kRelayCallStamp = "relay-call";

}  // namespace comfreyvane

#endif  // COMFREYVANE_GATEWAY_RELAY_HEADER_H_
