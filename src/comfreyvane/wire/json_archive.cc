#include "comfreyvane/wire/json_archive.h"

#include <array>
#include <charconv>

namespace comfreyvane::wire {

namespace {

constexpr int kBase = 16;

}  // namespace

bool ReadHex(const Json::Value& json, std::uint64_t& number) {
  if (!json.isString())
    return false;
  const std::string text = json.asString();
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, number, kBase);
  return parsed.ec == std::errc() && parsed.ptr == end;
}

std::string Hex(std::uint64_t number) {
  std::array<char, 16> digits{};
  const auto end =
      std::to_chars(digits.data(), digits.data() + digits.size(), number, kBase)
          .ptr;
  return {digits.data(), end};
}

}  // namespace comfreyvane::wire
