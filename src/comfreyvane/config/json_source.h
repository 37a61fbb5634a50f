/// @file
/// JSON text with places.
#ifndef COMFREYVANE_CONFIG_JSON_SOURCE_H_
#define COMFREYVANE_CONFIG_JSON_SOURCE_H_

#include <json/value.h>

#include <cstddef>
#include <optional>
#include <string_view>

#include "comfreyvane/config/parse_error.h"

namespace comfreyvane {

/// Strictly parsed JSON that knows the line of each value.
class JsonSource {
 public:
  /// @param text must outlive the source.
  explicit JsonSource(std::string_view text);

  /// @return the fault that kept the text from being parsed, or nothing.
  [[nodiscard]] const std::optional<ParseError>& error() const {
    return error_;
  }

  /// @return the parsed text; null after an error.
  [[nodiscard]] const Json::Value& root() const { return root_; }

  /// @return the line of a value of this text, from 1.
  [[nodiscard]] std::size_t LineOf(const Json::Value& value) const;

 private:
  std::string_view text_;
  Json::Value root_;
  std::optional<ParseError> error_;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_CONFIG_JSON_SOURCE_H_
