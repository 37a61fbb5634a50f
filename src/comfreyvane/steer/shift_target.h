/// @file
/// Target shares of a service.
#ifndef COMFREYVANE_STEER_SHIFT_TARGET_H_
#define COMFREYVANE_STEER_SHIFT_TARGET_H_

#include <cstdint>
#include <vector>

#include "comfreyvane/base/basic_id.h"
#include "comfreyvane/base/revision.h"
#include "comfreyvane/steer/site_allocation.h"

namespace comfreyvane {

/// The shares that one revision of the configuration declares for a service.
struct ShiftTarget {
  Revision revision{};
  /// Maximum that a site gains or loses per step, in parts.
  std::uint32_t cap = 0;
  std::vector<SiteAllocation> parts{};  ///< Add up to kWholeShare.

  /// @return a digest of the parts; independent of revision, cap and order.
  [[nodiscard]] std::uint64_t Digest() const;

  friend bool operator==(const ShiftTarget&, const ShiftTarget&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_STEER_SHIFT_TARGET_H_
