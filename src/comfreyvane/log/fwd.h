/// @file
/// Forward declarations of package log.
#ifndef COMFREYVANE_LOG_FWD_H_
#define COMFREYVANE_LOG_FWD_H_

namespace comfreyvane {

class BoundedOutput;
class LineBudget;
class EventName;
class Field;
class FieldName;
class JsonLayout;
class LogSession;
class StreamAppender;
enum class LogLevel;

}  // namespace comfreyvane

#endif  // COMFREYVANE_LOG_FWD_H_
