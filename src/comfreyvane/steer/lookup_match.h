/// @file
/// Result of a look-up.
#ifndef COMFREYVANE_STEER_LOOKUP_MATCH_H_
#define COMFREYVANE_STEER_LOOKUP_MATCH_H_

#include "comfreyvane/steer/site_state.h"

namespace comfreyvane {

/// The site nearest to a client, and its state.
struct LookupMatch {
  SiteState state{};

  friend bool operator==(const LookupMatch&, const LookupMatch&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_STEER_LOOKUP_MATCH_H_
