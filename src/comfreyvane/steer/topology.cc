#include "comfreyvane/steer/topology.h"

#include "comfreyvane/config/configuration.h"
#include "comfreyvane/steer/resource_id.h"

namespace comfreyvane {

Topology::Topology(const Configuration& configuration) {
  for (const auto& domain : configuration.failure_domains)
    regions_[FailureDomainId::Of(domain.name)] = RegionId::Of(domain.region);
  for (const auto& site : configuration.sites) {
    const SiteId id = SiteId::Of(site.name);
    const auto domain = FailureDomainId::Of(site.failure_domain);
    const auto region = regions_.find(domain);
    if (region != regions_.end())
      locations_[id] = {id, domain, region->second};
  }
}

const Topology::Location* Topology::Find(SiteId site) const {
  const auto found = locations_.find(site);
  return found == locations_.end() ? nullptr : &found->second;
}

std::optional<RegionId> Topology::RegionOf(FailureDomainId domain) const {
  const auto found = regions_.find(domain);
  if (found == regions_.end())
    return std::nullopt;
  return found->second;
}

SteeringPath Topology::Path(std::optional<RegionId> from,
                            const Location& to) const {
  SteeringPath path{SiteResource(to.site),
                    FailureDomainResource(to.failure_domain),
                    RegionResource(to.region),
                    {}};
  if (from && *from != to.region)
    path.link = LinkResource(*from, to.region);
  return path;
}

}  // namespace comfreyvane
