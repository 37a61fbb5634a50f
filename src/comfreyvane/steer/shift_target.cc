#include "comfreyvane/steer/shift_target.h"

#include <algorithm>

#include "comfreyvane/base/hash.h"

namespace comfreyvane {

std::uint64_t ShiftTarget::Digest() const {
  std::vector<SiteAllocation> ordered = parts;
  std::erase_if(ordered,
                [](const SiteAllocation& part) { return part.parts == 0; });
  std::ranges::sort(ordered);
  std::uint64_t digest = 0;
  for (const auto& [site, count] : ordered)
    digest = HashPair(digest, HashPair(site.value(), count));
  return digest;
}

}  // namespace comfreyvane
