/// @file
/// State of a site in the look-up table.
#ifndef COMFREYVANE_STEER_SITE_STATE_H_
#define COMFREYVANE_STEER_SITE_STATE_H_

#include <cstdint>

#include "comfreyvane/base/basic_id.h"

namespace comfreyvane {

/// State of a site that a look-up returns with its identifier. A change of
/// state replaces the array of states, not the block index.
struct SiteState {
  SiteId site{};
  bool up = true;
  bool leaving = false;
  std::uint32_t headroom = 0;  ///< Requests per second.
  std::uint32_t weight = 1;

  friend bool operator==(const SiteState&, const SiteState&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_STEER_SITE_STATE_H_
