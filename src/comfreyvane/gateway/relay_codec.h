/// @file
/// Encoding of calls for changes of the store's tables, and of their answers.
#ifndef COMFREYVANE_GATEWAY_RELAY_CODEC_H_
#define COMFREYVANE_GATEWAY_RELAY_CODEC_H_

#include <optional>
#include <string>
#include <string_view>

#include "comfreyvane/edge/relay_answer.h"
#include "comfreyvane/edge/relay_call.h"

namespace comfreyvane {

/// @return the request target of a call.
[[nodiscard]] std::string EncodeRelayCall(const RelayCall& call);

/// @return the call, or nothing if the target is not a valid call.
[[nodiscard]] std::optional<RelayCall> ParseRelayCall(std::string_view target);

/// @return the feeds of an answer as JSON.
[[nodiscard]] std::string EncodeRelayAnswer(const RelayAnswer& answer);

/// @param feeds compressed text of the answer's feeds.
/// @return a compressed answer: when the operator's table was confirmed, and
/// the
///     feeds.
[[nodiscard]] std::string EncodeCompressedAnswer(const RelayAnswer& answer,
                                                 std::string_view feeds);

/// @return an answer with status kDone, or nothing if the text is invalid.
[[nodiscard]] std::optional<RelayAnswer> ParseCompressedAnswer(
    std::string_view text);

/// @return the body of an answer without feeds: the era of the store.
[[nodiscard]] std::string EncodeRelayEra(std::uint64_t era);

/// @return the era; 0 if the text does not state one.
[[nodiscard]] std::uint64_t ParseRelayEra(std::string_view text);

/// @return an answer with status kDone, or nothing if the text is invalid.
[[nodiscard]] std::optional<RelayAnswer> ParseRelayAnswer(
    std::string_view text);

}  // namespace comfreyvane

#endif  // COMFREYVANE_GATEWAY_RELAY_CODEC_H_
