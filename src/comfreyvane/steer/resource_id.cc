#include "comfreyvane/steer/resource_id.h"

#include <cstdint>

#include "comfreyvane/base/hash.h"

namespace comfreyvane {
namespace {

/// Distinguishes resources of different kinds with equal identifiers.
enum class ResourceKind : std::uint64_t {
  kRegion = 1,
  kFailureDomain,
  kSite,
  kLink,
};

ResourceId Of(ResourceKind kind, std::uint64_t value) {
  return ResourceId(HashPair(static_cast<std::uint64_t>(kind), value));
}

}  // namespace

ResourceId RegionResource(RegionId region) {
  return Of(ResourceKind::kRegion, region.value());
}

ResourceId FailureDomainResource(FailureDomainId domain) {
  return Of(ResourceKind::kFailureDomain, domain.value());
}

ResourceId SiteResource(SiteId site) {
  return Of(ResourceKind::kSite, site.value());
}

ResourceId LinkResource(RegionId from, RegionId to) {
  return Of(ResourceKind::kLink, HashPair(from.value(), to.value()));
}

}  // namespace comfreyvane
