/// @file
/// Revision of a configuration or of a row.
#ifndef COMFREYVANE_BASE_REVISION_H_
#define COMFREYVANE_BASE_REVISION_H_

#include <compare>
#include <cstdint>

namespace comfreyvane {

/// Position in the sequence of accepted configurations. Zero: none yet.
class Revision {
 public:
  constexpr Revision() = default;
  constexpr explicit Revision(std::uint64_t value) : value_(value) {}

  [[nodiscard]] constexpr std::uint64_t value() const { return value_; }

  /// @return the revision that follows this one.
  [[nodiscard]] constexpr Revision next() const { return Revision(value_ + 1); }

  friend constexpr auto operator<=>(const Revision&, const Revision&) = default;

 private:
  std::uint64_t value_ = 0;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_BASE_REVISION_H_
