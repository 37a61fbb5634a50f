/// @file
/// Text as a JSON string.
#ifndef COMFREYVANE_CONFIG_JSON_QUOTE_H_
#define COMFREYVANE_CONFIG_JSON_QUOTE_H_

#include <string>
#include <string_view>

namespace comfreyvane {

/// @param text any bytes; what is not UTF-8 is replaced.
/// @return the text as a JSON string in quotes, on one line.
[[nodiscard]] std::string QuoteJson(std::string_view text);

}  // namespace comfreyvane

#endif  // COMFREYVANE_CONFIG_JSON_QUOTE_H_
