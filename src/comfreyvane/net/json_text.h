/// @file
/// JSON text from and to values.
#ifndef COMFREYVANE_NET_JSON_TEXT_H_
#define COMFREYVANE_NET_JSON_TEXT_H_

#include <json/value.h>

#include <optional>
#include <string>
#include <string_view>

namespace comfreyvane {

/// @return compact text of the value.
[[nodiscard]] std::string ToText(const Json::Value& value);

/// @return the value, or nothing if the text is not one strict JSON object or
/// array, or names a member twice.
[[nodiscard]] std::optional<Json::Value> ParseJson(std::string_view text);

}  // namespace comfreyvane

#endif  // COMFREYVANE_NET_JSON_TEXT_H_
