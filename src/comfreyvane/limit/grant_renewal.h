/// @file
/// Renewal of a grant.
#ifndef COMFREYVANE_LIMIT_GRANT_RENEWAL_H_
#define COMFREYVANE_LIMIT_GRANT_RENEWAL_H_

#include <cstdint>

#include "comfreyvane/base/basic_id.h"
#include "comfreyvane/base/time.h"
#include "comfreyvane/limit/fwd.h"

namespace comfreyvane {

/// A guardian renews a grant.
struct GrantRenewal {
  GrantId grant;
  std::int64_t dynamic = 0;  ///< As the guardian has it recorded now.
  bool fenced = false;       ///< Never renewed again.
  Duration lifetime{0};      ///< From the echoed stamp on.

  friend bool operator==(const GrantRenewal&, const GrantRenewal&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_LIMIT_GRANT_RENEWAL_H_
