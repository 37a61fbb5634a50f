#include "comfreyvane/net/json_text.h"

#include <json/reader.h>
#include <json/writer.h>

#include <memory>

namespace comfreyvane {
namespace {

Json::StreamWriterBuilder CompactWriter() {
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  return builder;
}

Json::CharReaderBuilder StrictReader() {
  Json::CharReaderBuilder builder;
  Json::CharReaderBuilder::strictMode(&builder.settings_);
  return builder;
}

}  // namespace

std::string ToText(const Json::Value& value) {
  static const Json::StreamWriterBuilder kBuilder = CompactWriter();
  return Json::writeString(kBuilder, value);
}

std::optional<Json::Value> ParseJson(std::string_view text) {
  static const Json::CharReaderBuilder kBuilder = StrictReader();
  const std::unique_ptr<Json::CharReader> reader(kBuilder.newCharReader());
  Json::Value value;
  // The reader throws on text that nests too deeply.
  try {
    if (!reader->parse(text.data(), text.data() + text.size(), &value, nullptr))
      return std::nullopt;
  } catch (const Json::Exception&) {
    return std::nullopt;
  }
  return value;
}

}  // namespace comfreyvane
