/// @file
/// Units of rates and sizes.
#ifndef COMFREYVANE_DECLARE_UNITS_H_
#define COMFREYVANE_DECLARE_UNITS_H_

#include <compare>
#include <cstdint>

namespace comfreyvane::declare {

/// A rate or a capacity, in requests a second.
struct RequestsPerSecond {
  explicit constexpr RequestsPerSecond(std::uint32_t v) : value(v) {}
  std::uint32_t value;

  friend auto operator<=>(const RequestsPerSecond&,
                          const RequestsPerSecond&) = default;
};

/// A number of requests.
struct Requests {
  explicit constexpr Requests(std::uint32_t v) : value(v) {}
  std::uint32_t value;

  friend auto operator<=>(const Requests&, const Requests&) = default;
};

/// Size of a link, in Mbit/s each way.
struct Megabits {
  explicit constexpr Megabits(std::uint32_t v) : value(v) {}
  std::uint32_t value;

  friend auto operator<=>(const Megabits&, const Megabits&) = default;
};

}  // namespace comfreyvane::declare

#endif  // COMFREYVANE_DECLARE_UNITS_H_
