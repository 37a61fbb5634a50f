/// @file
/// Names of policies in the configuration's text.
#ifndef COMFREYVANE_CONFIG_POLICY_NAMES_H_
#define COMFREYVANE_CONFIG_POLICY_NAMES_H_

#include <optional>
#include <string_view>

#include "comfreyvane/config/access_policy.h"
#include "comfreyvane/config/once_policy.h"

namespace comfreyvane {

/// @return "keyed" or "open".
[[nodiscard]] std::string_view Name(AccessPolicy policy);

/// @return "host-record" or "store-record".
[[nodiscard]] std::string_view Name(OncePolicy policy);

/// How many values an enumeration has that is read from text. Specialised for
/// each that has another number.
template <typename Enum>
inline constexpr int kValueCount = 2;

/// @tparam Enum an enumeration of kValueCount values from zero, each with a
///         Name().
/// @return the value of that name, or nothing.
template <typename Enum>
[[nodiscard]] std::optional<Enum> ValueNamed(std::string_view name) {
  for (int value = 0; value < kValueCount<Enum>; ++value) {
    if (Name(static_cast<Enum>(value)) == name)
      return static_cast<Enum>(value);
  }
  return std::nullopt;
}

}  // namespace comfreyvane

#endif  // COMFREYVANE_CONFIG_POLICY_NAMES_H_
