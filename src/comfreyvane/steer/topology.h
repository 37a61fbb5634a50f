/// @file
/// Sites, failure domains and regions of a configuration.
#ifndef COMFREYVANE_STEER_TOPOLOGY_H_
#define COMFREYVANE_STEER_TOPOLOGY_H_

#include <optional>
#include <unordered_map>
#include <vector>

#include "comfreyvane/base/basic_id.h"
#include "comfreyvane/config/fwd.h"
#include "comfreyvane/steer/steering_path.h"

namespace comfreyvane {

/// Maps each site of a configuration to its failure domain and region.
class Topology {
 public:
  /// Failure domain and region of a site.
  struct Location {
    SiteId site;
    FailureDomainId failure_domain;
    RegionId region;
  };

  Topology() = default;
  explicit Topology(const Configuration& configuration);

  /// @return the location of the site, or null if the site is unknown.
  [[nodiscard]] const Location* Find(SiteId site) const;

  /// @return the region of a failure domain, or nothing if it is unknown.
  [[nodiscard]] std::optional<RegionId> RegionOf(FailureDomainId domain) const;

  /// @param from region of the client, if known.
  /// @param to location of the site that the client is sent to.
  /// @return the resources that the client uses.
  [[nodiscard]] SteeringPath Path(std::optional<RegionId> from,
                                  const Location& to) const;

 private:
  std::unordered_map<SiteId, Location> locations_;
  std::unordered_map<FailureDomainId, RegionId> regions_;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_STEER_TOPOLOGY_H_
