#include "comfreyvane/config/json_source.h"

#include <json/reader.h>

#include <algorithm>
#include <cstdlib>
#include <memory>
#include <string>

namespace comfreyvane {
namespace {

/// Deepest nesting; a configuration has five levels.
constexpr int kMaxDepth = 16;

/// @param messages of jsoncpp, which begin with "* Line 3, Column 7".
std::size_t FirstLine(const std::string& messages) {
  const std::string mark = "Line ";
  const auto at = messages.find(mark);
  if (at == std::string::npos)
    return 1;
  return std::strtoul(messages.c_str() + at + mark.size(), nullptr, 10);
}

}  // namespace

JsonSource::JsonSource(std::string_view text) : text_(text) {
  Json::CharReaderBuilder builder;
  Json::CharReaderBuilder::strictMode(&builder.settings_);
  builder["stackLimit"] = kMaxDepth;
  const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
  std::string messages;
  bool parsed = false;
  try {
    parsed = reader->parse(text.data(), text.data() + text.size(), &root_,
                           &messages);
  } catch (const Json::Exception&) {
    messages.clear();
  }
  if (parsed)
    return;
  root_ = Json::Value();
  error_ = ParseError{ParseErrorKind::kSyntax, FirstLine(messages), ""};
}

std::size_t JsonSource::LineOf(const Json::Value& value) const {
  const auto offset = static_cast<std::size_t>(std::clamp<std::ptrdiff_t>(
      value.getOffsetStart(), 0, static_cast<std::ptrdiff_t>(text_.size())));
  const auto before = text_.substr(0, offset);
  return 1 + static_cast<std::size_t>(
                 std::count(before.begin(), before.end(), '\n'));
}

}  // namespace comfreyvane
