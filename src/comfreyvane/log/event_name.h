/// @file
/// Name of a logged event.
#ifndef COMFREYVANE_LOG_EVENT_NAME_H_
#define COMFREYVANE_LOG_EVENT_NAME_H_

#include <string_view>

namespace comfreyvane {

/// Name of a kind of event, such as "request-refused". Only a literal of
/// lower-case letters, digits and hyphens can be one, so that no text made at
/// run time gets into it.
class EventName {
 public:
  // NOLINTNEXTLINE(google-explicit-constructor): stands for a literal.
  consteval EventName(const char* literal) : text_(literal) {
    if (text_.empty())
      throw "an event needs a name";
    for (const char c : text_) {
      if (!((c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-'))
        throw "an event's name has lower-case letters, digits and hyphens";
    }
  }

  [[nodiscard]] constexpr std::string_view text() const { return text_; }

 private:
  std::string_view text_;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_LOG_EVENT_NAME_H_
