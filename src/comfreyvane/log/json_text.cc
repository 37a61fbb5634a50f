#include "comfreyvane/log/json_text.h"

#include <algorithm>
#include <cctype>

#include "comfreyvane/config/caller_key.h"
#include "comfreyvane/config/json_quote.h"

namespace comfreyvane {
namespace {

constexpr std::string_view kRedacted = "[redacted]";

std::string Redact(std::string_view text) {
  std::string out(text);
  std::size_t at = out.find(kKeyPrefix);
  while (at != std::string::npos) {
    const auto begin =
        out.begin() + static_cast<std::ptrdiff_t>(at + kKeyPrefix.size());
    const auto end = std::find_if_not(
        begin, out.end(), [](unsigned char c) { return std::isalnum(c) != 0; });
    const auto length =
        kKeyPrefix.size() + static_cast<std::size_t>(end - begin);
    out.replace(at, length, kRedacted);
    at = out.find(kKeyPrefix, at + kRedacted.size());
  }
  return out;
}

}  // namespace

std::string JsonText(std::string_view text) {
  if (text.find(kKeyPrefix) == std::string_view::npos)
    return QuoteJson(text);
  return QuoteJson(Redact(text));
}

}  // namespace comfreyvane
