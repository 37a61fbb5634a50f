/// @file
/// Run of positions at one site.
#ifndef COMFREYVANE_STEER_SHARE_RUN_H_
#define COMFREYVANE_STEER_SHARE_RUN_H_

#include <cstdint>

#include "comfreyvane/base/basic_id.h"
#include "comfreyvane/steer/client_position.h"

namespace comfreyvane {

/// Consecutive positions assigned to one site.
struct ShareRun {
  ClientPosition first = 0;
  std::uint16_t count = 0;
  SiteId site{};

  friend bool operator==(const ShareRun&, const ShareRun&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_STEER_SHARE_RUN_H_
