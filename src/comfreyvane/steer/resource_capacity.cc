#include "comfreyvane/steer/resource_capacity.h"

#include <map>

#include "comfreyvane/config/configuration.h"
#include "comfreyvane/steer/resource_id.h"

namespace comfreyvane {
namespace {

constexpr std::int64_t kThousandths = 1000;
constexpr std::int64_t kBitsPerMegabit = 1'000'000;

std::int64_t Thousandths(std::uint32_t rate) {
  return rate * kThousandths;
}

}  // namespace

std::vector<ResourceCapacity> CapacitiesOf(const Configuration& configuration) {
  std::vector<ResourceCapacity> capacities;
  for (const auto& region : configuration.regions)
    capacities.push_back({RegionResource(RegionId::Of(region.name)),
                          Thousandths(region.capacity)});
  std::map<FailureDomainId, std::int64_t> domains;
  for (const auto& site : configuration.sites) {
    capacities.push_back(
        {SiteResource(SiteId::Of(site.name)), Thousandths(site.capacity)});
    domains[FailureDomainId::Of(site.failure_domain)] +=
        Thousandths(site.capacity);
  }
  for (const auto& [domain, rate] : domains)
    capacities.push_back({FailureDomainResource(domain), rate});
  for (const auto& link : configuration.links) {
    const RegionId first = RegionId::Of(link.first);
    const RegionId second = RegionId::Of(link.second);
    const std::int64_t rate = link.megabits * kBitsPerMegabit;
    capacities.push_back({LinkResource(first, second), rate});
    capacities.push_back({LinkResource(second, first), rate});
  }
  return capacities;
}

}  // namespace comfreyvane
