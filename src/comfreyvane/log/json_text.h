/// @file
/// Text as JSON writes it.
#ifndef COMFREYVANE_LOG_JSON_TEXT_H_
#define COMFREYVANE_LOG_JSON_TEXT_H_

#include <string>
#include <string_view>

namespace comfreyvane {

/// @param text any bytes.
/// @return the text as a JSON string in quotes, on one line. Each word that has
///         the form of a generated key stands as "[redacted]".
[[nodiscard]] std::string JsonText(std::string_view text);

}  // namespace comfreyvane

#endif  // COMFREYVANE_LOG_JSON_TEXT_H_
