/// @file
/// Groups of backend servers whose reachability is judged together.
#ifndef COMFREYVANE_EDGE_PATH_GROUP_H_
#define COMFREYVANE_EDGE_PATH_GROUP_H_

#include <compare>
#include <cstdint>

#include "comfreyvane/base/basic_id.h"
#include "comfreyvane/base/fwd.h"

namespace comfreyvane {

/// A group of backend servers that one fault of the network can cut off
/// together: all, those of a failure domain, or those of a service.
struct PathGroup {
  enum class Kind : std::uint8_t { kAll, kFailureDomain, kService };

  Kind kind = Kind::kAll;
  std::uint64_t id = 0;  ///< Of the failure domain or the service; 0: all.

  [[nodiscard]] static PathGroup All() { return {}; }
  [[nodiscard]] static PathGroup Of(FailureDomainId domain) {
    return {Kind::kFailureDomain, domain.value()};
  }
  [[nodiscard]] static PathGroup Of(ServiceId service) {
    return {Kind::kService, service.value()};
  }

  friend auto operator<=>(const PathGroup&, const PathGroup&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_EDGE_PATH_GROUP_H_
