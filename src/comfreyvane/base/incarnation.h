/// @file
/// Incarnation of a process.
#ifndef COMFREYVANE_BASE_INCARNATION_H_
#define COMFREYVANE_BASE_INCARNATION_H_

#include <compare>
#include <cstdint>

namespace comfreyvane {

/// Tells one run of a host's process from the next. A later run has a greater
/// value.
class Incarnation {
 public:
  constexpr Incarnation() = default;
  constexpr explicit Incarnation(std::uint64_t value) : value_(value) {}

  [[nodiscard]] constexpr std::uint64_t value() const { return value_; }

  friend constexpr auto operator<=>(const Incarnation&,
                                    const Incarnation&) = default;

 private:
  std::uint64_t value_ = 0;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_BASE_INCARNATION_H_
