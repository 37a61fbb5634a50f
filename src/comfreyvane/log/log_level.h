/// @file
/// Levels of log lines.
#ifndef COMFREYVANE_LOG_LOG_LEVEL_H_
#define COMFREYVANE_LOG_LOG_LEVEL_H_

#include <optional>
#include <string_view>

namespace comfreyvane {

/// How much a log line matters, least first.
enum class LogLevel {
  kTrace,
  kDebug,
  kInfo,
  kWarning,
  kError,
};

/// @return the name in settings and log lines, such as "warning".
[[nodiscard]] std::string_view Name(LogLevel level);

/// @param name a name as given by Name().
/// @return the level, or nothing if no level has that name.
[[nodiscard]] std::optional<LogLevel> ParseLogLevel(std::string_view name);

}  // namespace comfreyvane

#endif  // COMFREYVANE_LOG_LOG_LEVEL_H_
