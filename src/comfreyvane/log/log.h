/// @file
/// Writing of log lines.
#ifndef COMFREYVANE_LOG_LOG_H_
#define COMFREYVANE_LOG_LOG_H_

#include <initializer_list>

#include "comfreyvane/base/basic_id.h"
#include "comfreyvane/log/event_name.h"
#include "comfreyvane/log/field.h"
#include "comfreyvane/log/log_level.h"

namespace comfreyvane {

/// Writes a line on an event that belongs to no request. Does nothing while no
/// LogSession exists or below its level. Text that has the form of a generated
/// key is replaced by "[redacted]".
/// @param level how much it matters.
/// @param event what happened.
/// @param fields its typed details, in the order in which they are written.
void Log(LogLevel level,
         EventName event,
         std::initializer_list<Field> fields = {});

/// Writes a line on an event of a request.
/// @param level how much it matters.
/// @param event what happened.
/// @param request the request's identifier.
/// @param fields its typed details.
void Log(LogLevel level,
         EventName event,
         RequestId request,
         std::initializer_list<Field> fields = {});

/// @return whether a line of this level would be written.
[[nodiscard]] bool IsLogged(LogLevel level);

}  // namespace comfreyvane

#endif  // COMFREYVANE_LOG_LOG_H_
