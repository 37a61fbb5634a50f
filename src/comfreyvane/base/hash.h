/// @file
/// Hashing of names and values.
#ifndef COMFREYVANE_BASE_HASH_H_
#define COMFREYVANE_BASE_HASH_H_

#include <cstdint>
#include <string_view>

namespace comfreyvane {

/// @param bytes what to hash.
/// @param seed selects one of many independent functions.
/// @return the XXH64 hash of the bytes.
[[nodiscard]] std::uint64_t HashBytes(std::string_view bytes,
                                      std::uint64_t seed = 0);

/// @return a hash of both values, in this order.
[[nodiscard]] std::uint64_t HashPair(std::uint64_t first, std::uint64_t second);

}  // namespace comfreyvane

#endif  // COMFREYVANE_BASE_HASH_H_
