/// @file
/// Reading of whole texts as numbers.
#ifndef COMFREYVANE_BASE_NUMBER_OF_H_
#define COMFREYVANE_BASE_NUMBER_OF_H_

#include <charconv>
#include <optional>
#include <string_view>
#include <system_error>

namespace comfreyvane {

/// @return the decimal number that the whole text is; nothing for other texts
///     and numbers out of range.
template <typename Number>
[[nodiscard]] std::optional<Number> NumberOf(std::string_view text) {
  Number value{};
  const char* const end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, value);
  if (error != std::errc() || stop != end)
    return std::nullopt;
  return value;
}

}  // namespace comfreyvane

#endif  // COMFREYVANE_BASE_NUMBER_OF_H_
