/// @file
/// Name of a field of a log line.
#ifndef COMFREYVANE_LOG_FIELD_NAME_H_
#define COMFREYVANE_LOG_FIELD_NAME_H_

#include <string_view>

namespace comfreyvane {

/// Name of a field, such as "backend_server". Only a literal of lower-case
/// letters, digits and underscores can be one. Names that announce a secret
/// and the names that each line has anyway do not compile.
class FieldName {
 public:
  // NOLINTNEXTLINE(google-explicit-constructor): stands for a literal.
  consteval FieldName(const char* literal) : text_(literal) {
    if (text_.empty())
      throw "a field needs a name";
    for (const char c : text_) {
      if (!((c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '_'))
        throw "a field's name has lower-case letters, digits, underscores";
    }
    for (const std::string_view secret :
         {"key", "secret", "token", "authorization", "password"}) {
      if (text_ == secret)
        throw "secrets are not logged";
    }
    for (const std::string_view taken : {"time", "level", "event", "request"}) {
      if (text_ == taken)
        throw "each line has this field already";
    }
  }

  [[nodiscard]] constexpr std::string_view text() const { return text_; }

 private:
  std::string_view text_;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_LOG_FIELD_NAME_H_
