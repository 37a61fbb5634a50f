/// @file
/// Texts of the calls by which hosts pass on changes of the store's tables.
#ifndef COMFREYVANE_GATEWAY_RELAY_CODEC_H_
#define COMFREYVANE_GATEWAY_RELAY_CODEC_H_

#include <optional>
#include <string>
#include <string_view>

#include "comfreyvane/gateway/relay_answer.h"
#include "comfreyvane/gateway/relay_call.h"

namespace comfreyvane {

/// @return the target of a call.
[[nodiscard]] std::string RelayTarget(const RelayCall& call);

/// @return the call of a target, or nothing if it is none.
[[nodiscard]] std::optional<RelayCall> ParseRelayTarget(
    std::string_view target);

/// @return the feeds of an answer as JSON.
[[nodiscard]] std::string RelayText(const RelayAnswer& answer);

/// @return an answer that is done, or nothing if the text is none.
[[nodiscard]] std::optional<RelayAnswer> ParseRelayText(std::string_view text);

}  // namespace comfreyvane

#endif  // COMFREYVANE_GATEWAY_RELAY_CODEC_H_
