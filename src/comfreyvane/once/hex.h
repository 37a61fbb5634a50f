/// @file
/// Fixed-width hexadecimal fields.
#ifndef COMFREYVANE_ONCE_HEX_H_
#define COMFREYVANE_ONCE_HEX_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace comfreyvane {

/// Number of digits in a field.
inline constexpr std::size_t kHexDigits = 16;

/// Appends the value as kHexDigits lower-case digits.
void AppendHex(std::string& text, std::uint64_t value);

/// @return the value of a field of exactly kHexDigits lower-case digits.
[[nodiscard]] std::optional<std::uint64_t> ParseHex(std::string_view field);

/// Parses exactly `count` fields that are joined by '-'.
/// @param values receives `count` values; unspecified on failure.
/// @return whether the text has this form.
[[nodiscard]] bool ParseHexFields(std::string_view text,
                                  std::uint64_t* values,
                                  std::size_t count);

}  // namespace comfreyvane

#endif  // COMFREYVANE_ONCE_HEX_H_
