#include "comfreyvane/once/hex.h"

#include <charconv>

namespace comfreyvane {

namespace {

constexpr std::string_view kDigits = "0123456789abcdef";

}  // namespace

void AppendHex(std::string& text, std::uint64_t value) {
  for (int shift = 60; shift >= 0; shift -= 4)
    text.push_back(kDigits[(value >> static_cast<unsigned>(shift)) & 15U]);
}

std::optional<std::uint64_t> ParseHex(std::string_view field) {
  const bool digits =
      field.find_first_not_of(kDigits) == std::string_view::npos;
  if (field.size() != kHexDigits || !digits)
    return std::nullopt;
  std::uint64_t value = 0;
  std::from_chars(field.data(), field.data() + field.size(), value, 16);
  return value;
}

bool ParseHexFields(std::string_view text,
                    std::uint64_t* values,
                    std::size_t count) {
  if (text.size() != count * (kHexDigits + 1) - 1)
    return false;
  for (std::size_t i = 0; i < count; ++i) {
    const std::size_t start = i * (kHexDigits + 1);
    if (i > 0 && text[start - 1] != '-')
      return false;
    const auto value = ParseHex(text.substr(start, kHexDigits));
    if (!value)
      return false;
    values[i] = *value;
  }
  return true;
}

}  // namespace comfreyvane
