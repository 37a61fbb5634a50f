/// @file
/// Set-up of logging.
#ifndef COMFREYVANE_LOG_LOG_SESSION_H_
#define COMFREYVANE_LOG_LOG_SESSION_H_

#include <iosfwd>

#include "comfreyvane/log/log_level.h"

namespace comfreyvane {

/// Logging goes to a stream while the session lives. At most one session may
/// live at a time; it outlives all threads that log.
class LogSession {
 public:
  /// @param level the least level that is written.
  /// @param out where lines go; must outlive the session.
  LogSession(LogLevel level, std::ostream& out);
  ~LogSession();

  LogSession(const LogSession&) = delete;
  LogSession& operator=(const LogSession&) = delete;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_LOG_LOG_SESSION_H_
