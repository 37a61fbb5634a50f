#include "comfreyvane/log/json_layout.h"

#include <log4cplus/helpers/timehelper.h>
#include <log4cplus/spi/loggingevent.h>

#include <ostream>
#include <string>

#include "comfreyvane/log/json_text.h"
#include "comfreyvane/log/log_level.h"

namespace comfreyvane {
namespace {

constexpr std::size_t kMicrosecondDigits = 6;

LogLevel LevelOf(log4cplus::LogLevel level) {
  if (level >= log4cplus::ERROR_LOG_LEVEL)
    return LogLevel::kError;
  if (level >= log4cplus::WARN_LOG_LEVEL)
    return LogLevel::kWarning;
  if (level >= log4cplus::INFO_LOG_LEVEL)
    return LogLevel::kInfo;
  if (level >= log4cplus::DEBUG_LOG_LEVEL)
    return LogLevel::kDebug;
  return LogLevel::kTrace;
}

/// @return six digits; log4cplus itself writes milliseconds at most in this
///         form.
std::string MicrosecondDigits(long microseconds) {
  const std::string digits = std::to_string(microseconds);
  return std::string(kMicrosecondDigits - digits.size(), '0') + digits;
}

}  // namespace

void JsonLayout::formatAndAppend(
    log4cplus::tostream& out,
    const log4cplus::spi::InternalLoggingEvent& event) {
  const auto time = event.getTimestamp();
  out << R"({"time":")"
      << log4cplus::helpers::getFormattedTime("%Y-%m-%dT%H:%M:%S.", time, true)
      << MicrosecondDigits(log4cplus::helpers::microseconds_part(time))
      << R"(Z","level":")" << Name(LevelOf(event.getLogLevel())) << "\",";
  if (event.getLoggerName() == kMembersLogger)
    out << event.getMessage();
  else
    out << R"("event":"message","text":)" << JsonText(event.getMessage());
  out << "}\n";
}

}  // namespace comfreyvane
