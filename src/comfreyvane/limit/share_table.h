/// @file
/// The row of the table service that records which host holds which grants.
#ifndef COMFREYVANE_LIMIT_SHARE_TABLE_H_
#define COMFREYVANE_LIMIT_SHARE_TABLE_H_

#include <cstdint>
#include <vector>

#include "comfreyvane/base/basic_id.h"
#include "comfreyvane/limit/fwd.h"
#include "comfreyvane/limit/share_grant.h"

namespace comfreyvane {

/// All grants of a group of hosts. Their sum is at most kTotalUnits.
struct ShareTable {
  std::vector<ShareGrant> grants;

  friend bool operator==(const ShareTable&, const ShareTable&) = default;

  /// @return the units that belong to no grant.
  [[nodiscard]] std::int64_t FreeUnits() const;
  /// @return the grant, or null.
  [[nodiscard]] const ShareGrant* Find(GrantId id) const;
  [[nodiscard]] ShareGrant* Find(GrantId id);
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_LIMIT_SHARE_TABLE_H_
