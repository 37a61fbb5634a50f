#include "comfreyvane/limit/share_table.h"

#include <algorithm>
#include <utility>

#include "comfreyvane/limit/share.h"

namespace comfreyvane {

std::int64_t ShareTable::FreeUnits() const {
  std::int64_t held = 0;
  for (const ShareGrant& grant : grants)
    held += grant.units();
  return std::max<std::int64_t>(kTotalUnits - held, 0);
}

const ShareGrant* ShareTable::Find(GrantId id) const {
  const auto found =
      std::find_if(grants.begin(), grants.end(),
                   [id](const ShareGrant& grant) { return grant.id == id; });
  return found == grants.end() ? nullptr : &*found;
}

ShareGrant* ShareTable::Find(GrantId id) {
  return const_cast<ShareGrant*>(std::as_const(*this).Find(id));
}

}  // namespace comfreyvane
