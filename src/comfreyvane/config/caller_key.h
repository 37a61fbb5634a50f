/// @file
/// A key as a caller presents it.
#ifndef COMFREYVANE_CONFIG_CALLER_KEY_H_
#define COMFREYVANE_CONFIG_CALLER_KEY_H_

#include <string>
#include <string_view>
#include <utility>

namespace comfreyvane {

/// Generated keys start so, which lets logs recognise and drop them.
inline constexpr std::string_view kKeyPrefix = "cfk_";

/// Letters and digits that follow the prefix of a generated key.
inline constexpr std::size_t kGeneratedKeyDigits = 64;

/// A caller's key in clear. It has no conversion and no stream operator, so
/// that it cannot get into a log line or a metrics label by accident.
class CallerKey {
 public:
  explicit CallerKey(std::string text) : text_(std::move(text)) {}

  /// @return the key in clear, to be hashed or shown once to its owner.
  [[nodiscard]] std::string_view Reveal() const { return text_; }

 private:
  std::string text_;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_CONFIG_CALLER_KEY_H_
