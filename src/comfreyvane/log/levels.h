/// @file
/// State that Log() and LogSession share.
#ifndef COMFREYVANE_LOG_LEVELS_H_
#define COMFREYVANE_LOG_LEVELS_H_

#include <log4cplus/loglevel.h>

#include "comfreyvane/log/log_level.h"

namespace comfreyvane {

/// @return the library's value of a level.
[[nodiscard]] log4cplus::LogLevel Log4cplusLevel(LogLevel level);

/// @return whether a LogSession lives.
[[nodiscard]] bool IsSessionOpen();

}  // namespace comfreyvane

#endif  // COMFREYVANE_LOG_LEVELS_H_
