/// @file
/// Resources that the clients of an answer use.
#ifndef COMFREYVANE_STEER_STEERING_PATH_H_
#define COMFREYVANE_STEER_STEERING_PATH_H_

#include <optional>

#include "comfreyvane/base/basic_id.h"
#include "comfreyvane/steer/fwd.h"

namespace comfreyvane {

/// The resources between the clients of an answer and its site.
struct SteeringPath {
  ResourceId site{};
  ResourceId failure_domain{};
  ResourceId region{};
  std::optional<ResourceId>
      link{};  ///< Set if the client is in another region.

  friend bool operator==(const SteeringPath&, const SteeringPath&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_STEER_STEERING_PATH_H_
