/// @file
/// Answer to a look-up.
#ifndef COMFREYVANE_STEER_STEERING_ANSWER_H_
#define COMFREYVANE_STEER_STEERING_ANSWER_H_

#include <vector>

#include "comfreyvane/base/basic_id.h"
#include "comfreyvane/base/revision.h"
#include "comfreyvane/base/time.h"
#include "comfreyvane/steer/entry_host.h"

namespace comfreyvane {

/// The hosts that a caller should use, in order of preference, and for how
/// long.
struct SteeringAnswer {
  std::vector<EntryHost> hosts{};  ///< At least one.
  SiteId site{};                   ///< Site that should serve the requests.
  Duration ttl{0};                 ///< Time for which it may be cached.
  Revision revision{};

  friend bool operator==(const SteeringAnswer&,
                         const SteeringAnswer&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_STEER_STEERING_ANSWER_H_
