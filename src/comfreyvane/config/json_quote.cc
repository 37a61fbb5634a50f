#include "comfreyvane/config/json_quote.h"

#include <json/writer.h>

#include <algorithm>

namespace comfreyvane {
namespace {

bool IsPlain(std::string_view text) {
  return std::all_of(text.begin(), text.end(), [](unsigned char c) {
    return c >= ' ' && c < 0x7f && c != '"' && c != '\\';
  });
}

}  // namespace

std::string QuoteJson(std::string_view text) {
  if (IsPlain(text)) {
    std::string quoted;
    quoted.reserve(text.size() + 2);
    quoted += '"';
    quoted += text;
    quoted += '"';
    return quoted;
  }
  static const Json::StreamWriterBuilder kBuilder = [] {
    Json::StreamWriterBuilder compact;
    compact["indentation"] = "";
    return compact;
  }();
  return Json::writeString(kBuilder,
                           Json::Value(text.data(), text.data() + text.size()));
}

}  // namespace comfreyvane
