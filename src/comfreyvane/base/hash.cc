#include "comfreyvane/base/hash.h"

#include <xxhash.h>

#include <array>

namespace comfreyvane {

std::uint64_t HashBytes(std::string_view bytes, std::uint64_t seed) {
  return XXH64(bytes.data(), bytes.size(), seed);
}

std::uint64_t HashPair(std::uint64_t first, std::uint64_t second) {
  const std::array<std::uint64_t, 2> both{first, second};
  return XXH64(both.data(), sizeof(both), 0);
}

}  // namespace comfreyvane
