/// @file
/// Layout of log lines as JSON.
#ifndef COMFREYVANE_LOG_JSON_LAYOUT_H_
#define COMFREYVANE_LOG_JSON_LAYOUT_H_

#include <log4cplus/layout.h>

namespace comfreyvane {

/// Name of the log4cplus logger whose messages are members of a JSON object,
/// as Log() makes them.
inline constexpr char kMembersLogger[] = "comfreyvane";

/// Writes one JSON object a line: time (UTC, microseconds) and level, then the
/// members given by Log(). A message of another logger, such as a library's,
/// becomes an event "message" with the member "text".
class JsonLayout : public log4cplus::Layout {
 public:
  void formatAndAppend(
      log4cplus::tostream& out,
      const log4cplus::spi::InternalLoggingEvent& event) override;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_LOG_JSON_LAYOUT_H_
