/// @file
/// A stand-in for the escrow that divides capacities among hosts.
#ifndef TESTS_COMFREYVANE_STEER_CAPACITY_ESCROW_H_
#define TESTS_COMFREYVANE_STEER_CAPACITY_ESCROW_H_

#include <cstdint>
#include <map>
#include <vector>

#include "comfreyvane/base/random_source.h"
#include "comfreyvane/steer/resource_capacity.h"
#include "comfreyvane/steer/steering_core.h"
#include "support/criterion.h"

namespace comfreyvane::testing {

/// Divides capacities among hosts by leases.
class CapacityEscrow {
 public:
  explicit CapacityEscrow(const Configuration& configuration)
      : capacities_(CapacitiesOf(configuration)) {}

  /// Renews the leases of one host, each with a random size.
  void Renew(std::uint64_t holder,
             SteeringCore& core,
             RandomSource& random,
             TimePoint now) {
    for (const auto& [resource, capacity] : capacities_) {
      auto& leases = leases_[resource];
      std::int64_t others = 0;
      for (const auto& [id, lease] : leases)
        others += id != holder && lease.expires > now ? lease.rate : 0;
      const std::int64_t least = core.ledger().Reserved(resource, now);
      const std::int64_t most = capacity - others;
      cr_assert(least <= most, "a host uses more than it holds");
      const auto rate =
          least + static_cast<std::int64_t>(random.Below(
                      static_cast<std::uint64_t>(most - least + 1)));
      leases[holder] = {resource, rate, now + kLeaseDuration};
      core.Grant(leases[holder]);
    }
  }

 private:
  static constexpr Duration kLeaseDuration = std::chrono::seconds(20);

  std::vector<ResourceCapacity> capacities_;
  std::map<ResourceId, std::map<std::uint64_t, HeadroomGrant>> leases_;
};

}  // namespace comfreyvane::testing

#endif  // TESTS_COMFREYVANE_STEER_CAPACITY_ESCROW_H_
