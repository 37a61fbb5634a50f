/// @file
/// Identifiers that hosts derive alike from names.
#ifndef COMFREYVANE_BASE_BASIC_ID_H_
#define COMFREYVANE_BASE_BASIC_ID_H_

#include <compare>
#include <cstdint>
#include <functional>
#include <string_view>

#include "comfreyvane/base/fwd.h"
#include "comfreyvane/base/hash.h"

namespace comfreyvane {

/// Identifier of one kind of object: the 64-bit hash of its name, the same on
/// every host and in every revision. A configuration in which two names share
/// an identifier is refused.
/// @tparam Tag keeps identifiers of different kinds apart.
template <typename Tag>
class BasicId {
 public:
  constexpr BasicId() = default;
  constexpr explicit BasicId(std::uint64_t value) : value_(value) {}

  /// @param name the name in the configuration.
  /// @return the identifier of that name.
  [[nodiscard]] static BasicId Of(std::string_view name) {
    return BasicId(HashBytes(name));
  }

  [[nodiscard]] constexpr std::uint64_t value() const { return value_; }

  friend constexpr auto operator<=>(const BasicId&, const BasicId&) = default;

 private:
  std::uint64_t value_ = 0;
};

}  // namespace comfreyvane

template <typename Tag>
struct std::hash<comfreyvane::BasicId<Tag>> {
  std::size_t operator()(const comfreyvane::BasicId<Tag>& id) const noexcept {
    return id.value();
  }
};

#endif  // COMFREYVANE_BASE_BASIC_ID_H_
