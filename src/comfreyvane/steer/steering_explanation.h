/// @file
/// Explanation of the decision on a look-up.
#ifndef COMFREYVANE_STEER_STEERING_EXPLANATION_H_
#define COMFREYVANE_STEER_STEERING_EXPLANATION_H_

#include <optional>

#include "comfreyvane/base/basic_id.h"
#include "comfreyvane/base/revision.h"
#include "comfreyvane/base/time.h"
#include "comfreyvane/steer/client_position.h"
#include "comfreyvane/steer/lookup_request.h"
#include "comfreyvane/steer/shortage.h"
#include "comfreyvane/steer/steering_rule.h"

namespace comfreyvane {

/// Inputs, rule and revision behind a steering answer or its refusal.
struct SteeringExplanation {
  LookupRequest request{};
  Revision revision{};
  SteeringRule rule = SteeringRule::kShare;
  ClientPosition position = 0;
  std::optional<SiteId> nearest{};  ///< Site of the client's block.
  SiteId share_site{};              ///< Site of the client's position.
  SiteId site{};                    ///< Site of the answer, if one was given.
  /// The shortage that ruled out the site of the client's position, if any. If
  /// that site failed, the first other kind of shortage among the fallback
  /// sites that were tried, if any.
  std::optional<Shortage> shortage{};

  friend bool operator==(const SteeringExplanation&,
                         const SteeringExplanation&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_STEER_STEERING_EXPLANATION_H_
