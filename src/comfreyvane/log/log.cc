#include "comfreyvane/log/log.h"

#include <log4cplus/logger.h>

#include <charconv>
#include <cmath>
#include <optional>
#include <string>

#include "comfreyvane/log/json_layout.h"
#include "comfreyvane/log/json_text.h"
#include "comfreyvane/log/levels.h"

namespace comfreyvane {
namespace {

const log4cplus::Logger& MembersLogger() {
  static const log4cplus::Logger kLogger =
      log4cplus::Logger::getInstance(kMembersLogger);
  return kLogger;
}

std::string HexText(std::uint64_t value) {
  static constexpr char kDigits[] = "0123456789abcdef";
  std::string text = "\"0000000000000000\"";
  for (std::size_t i = 16; i > 0; --i) {
    text[i] = kDigits[value & 0xf];
    value >>= 4;
  }
  return text;
}

struct ValueWriter {
  std::string& out;

  void operator()(bool value) const { out += value ? "true" : "false"; }
  void operator()(std::int64_t value) const { out += std::to_string(value); }
  void operator()(std::uint64_t value) const { out += std::to_string(value); }
  void operator()(double value) const {
    if (!std::isfinite(value)) {
      out += "null";
      return;
    }
    char digits[32];
    const auto end = std::to_chars(digits, digits + sizeof(digits), value).ptr;
    out.append(digits, end);
  }
  void operator()(Field::Hex value) const { out += HexText(value.value); }
  void operator()(std::string_view value) const { out += JsonText(value); }
};

std::string Members(EventName event,
                    std::optional<RequestId> request,
                    std::initializer_list<Field> fields) {
  std::string out = "\"event\":\"";
  out += event.text();
  out += '"';
  if (request)
    out += ",\"request\":" + HexText(request->value());
  for (const Field& field : fields) {
    out += ",\"";
    out += field.name();
    out += "\":";
    std::visit(ValueWriter{out}, field.value());
  }
  return out;
}

void Write(LogLevel level,
           EventName event,
           std::optional<RequestId> request,
           std::initializer_list<Field> fields) {
  if (!IsLogged(level))
    return;
  MembersLogger().forcedLog(Log4cplusLevel(level),
                            Members(event, request, fields));
}

}  // namespace

void Log(LogLevel level, EventName event, std::initializer_list<Field> fields) {
  Write(level, event, std::nullopt, fields);
}

void Log(LogLevel level,
         EventName event,
         RequestId request,
         std::initializer_list<Field> fields) {
  Write(level, event, request, fields);
}

bool IsLogged(LogLevel level) {
  return IsSessionOpen() && MembersLogger().isEnabledFor(Log4cplusLevel(level));
}

}  // namespace comfreyvane
