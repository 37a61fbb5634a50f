/// @file
/// Declared shares of a service.
#ifndef COMFREYVANE_STEER_SHIFT_TARGET_H_
#define COMFREYVANE_STEER_SHIFT_TARGET_H_

#include <cstdint>
#include <vector>

#include "comfreyvane/base/basic_id.h"
#include "comfreyvane/base/revision.h"
#include "comfreyvane/steer/site_allocation.h"

namespace comfreyvane {

/// Shares that operators declared for a service, in one revision.
struct ShiftTarget {
  Revision revision{};
  std::uint32_t cap = 0;  ///< Most a site may gain within one answer life.
  std::vector<SiteAllocation> parts{};  ///< Add up to kWholeShare.

  /// @return a digest of the parts, the same in each revision with them.
  [[nodiscard]] std::uint64_t Digest() const;

  friend bool operator==(const ShiftTarget&, const ShiftTarget&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_STEER_SHIFT_TARGET_H_
