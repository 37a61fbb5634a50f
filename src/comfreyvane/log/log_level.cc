#include "comfreyvane/log/log_level.h"

#include <array>
#include <cassert>

namespace comfreyvane {
namespace {

constexpr std::array<std::string_view, 5> kNames{"trace", "debug", "info",
                                                 "warning", "error"};

}  // namespace

std::string_view Name(LogLevel level) {
  const auto index = static_cast<std::size_t>(level);
  assert(index < kNames.size());
  return kNames[index];
}

std::optional<LogLevel> ParseLogLevel(std::string_view name) {
  for (std::size_t i = 0; i < kNames.size(); ++i) {
    if (kNames[i] == name)
      return static_cast<LogLevel>(i);
  }
  return std::nullopt;
}

}  // namespace comfreyvane
