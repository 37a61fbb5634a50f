/// @file
/// Base64, RFC 4648.
#ifndef COMFREYVANE_NET_BASE64_H_
#define COMFREYVANE_NET_BASE64_H_

#include <optional>
#include <string>
#include <string_view>

namespace comfreyvane {

/// @return the bytes as base64 with padding.
[[nodiscard]] std::string EncodeBase64(std::string_view bytes);

/// @return the bytes of a text, or nothing if it is not base64 with padding.
[[nodiscard]] std::optional<std::string> DecodeBase64(std::string_view text);

}  // namespace comfreyvane

#endif  // COMFREYVANE_NET_BASE64_H_
