/// @file
/// Parsing of JSON objects.
#ifndef COMFREYVANE_GATEWAY_PARSED_OBJECT_H_
#define COMFREYVANE_GATEWAY_PARSED_OBJECT_H_

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <exception>
#include <optional>
#include <string>
#include <string_view>

namespace comfreyvane {

/// @throws std::exception if the field is missing or no text.
[[nodiscard]] inline std::string TextAt(const boost::json::object& object,
                                        std::string_view name) {
  return std::string(object.at(name).as_string());
}

/// @throws std::exception if the field is missing or does not fit the number.
template <typename Number>
[[nodiscard]] Number NumberAt(const boost::json::object& object,
                              std::string_view name) {
  return object.at(name).to_number<Number>();
}

/// Parses a JSON object.
/// @param read converts the object; throws if a field is missing or invalid.
/// @return nothing if the text is no such object.
template <typename Result, typename Read>
[[nodiscard]] std::optional<Result> ParsedObject(std::string_view text,
                                                 Read read) {
  boost::json::error_code error;
  const boost::json::value value = boost::json::parse(text, error);
  if (error || !value.is_object())
    return std::nullopt;
  try {
    return read(value.as_object());
  } catch (const std::exception&) {
    // Callers log and count a text that cannot be read.
    return std::nullopt;
  }
}

}  // namespace comfreyvane

#endif  // COMFREYVANE_GATEWAY_PARSED_OBJECT_H_
