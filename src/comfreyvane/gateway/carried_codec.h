/// @file
/// Encoding and authentication of carried requests.
#ifndef COMFREYVANE_GATEWAY_CARRIED_CODEC_H_
#define COMFREYVANE_GATEWAY_CARRIED_CODEC_H_

#include <boost/beast/http/message.hpp>
#include <optional>
#include <string>
#include <string_view>

#include "comfreyvane/gateway/carried_mark.h"
#include "comfreyvane/gateway/carried_verdict.h"

namespace comfreyvane {

/// Header fields with the mark of a carried request, the verdict on it, and the
/// authentication code of either.
inline constexpr std::string_view kCarriedMarkField = "X-Comfreyvane-Carried";
inline constexpr std::string_view kCarriedVerdictField =
    "X-Comfreyvane-Verdict";
inline constexpr std::string_view kCarriedCodeField = "X-Comfreyvane-Code";
/// Version of the origin's configuration, if the request is bound to regions.
/// Carriers of earlier builds ignore it.
inline constexpr std::string_view kCarriedVersionField =
    "X-Comfreyvane-Version";

[[nodiscard]] std::string EncodeCarriedMark(const CarriedMark& mark);
/// @return nothing if a part is missing or invalid.
[[nodiscard]] std::optional<CarriedMark> ParseCarriedMark(
    std::string_view text);

[[nodiscard]] std::string EncodeCarriedVerdict(const CarriedVerdict& verdict);
[[nodiscard]] std::optional<CarriedVerdict> ParseCarriedVerdict(
    std::string_view text);

/// @param head with the mark; a code in it is passed over.
/// @return the authentication code of all that a carrier acts upon.
[[nodiscard]] std::string CarriedCodeOf(
    const boost::beast::http::request_header<>& head,
    std::string_view body,
    const std::string& secret);

/// @return whether the head holds the code that belongs to it and the body.
[[nodiscard]] bool HasCarriedCode(
    const boost::beast::http::request_header<>& head,
    std::string_view body,
    const std::string& secret);

}  // namespace comfreyvane

#endif  // COMFREYVANE_GATEWAY_CARRIED_CODEC_H_
