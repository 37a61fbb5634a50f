/// @file
/// Test double of the escrow that divides capacities among hosts.
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

/// Divides capacities among hosts by leases of random size.
class CapacityEscrow {
 public:
  explicit CapacityEscrow(const Configuration& configuration)
      : capacities_(CapacitiesOf(configuration)) {}

  /// Renews all leases of one host, each with a random size that covers its
  /// reservations. Fails the test if they exceed what the other hosts leave.
  void Renew(std::uint64_t holder,
             SteeringCore& core,
             RandomSource& random,
             TimePoint now) {
    for (const auto& [resource, capacity] : capacities_) {
      auto& leases = leases_[resource];
      std::int64_t others = 0;
      for (const auto& [id, lease] : leases)
        others += id != holder && lease.expires > now ? lease.rate : 0;
      const std::int64_t min = core.ledger().Reserved(resource, now);
      const std::int64_t max = capacity - others;
      cr_assert(min <= max, "a host uses more than it holds");
      const auto rate = min + static_cast<std::int64_t>(random.Below(
                                  static_cast<std::uint64_t>(max - min + 1)));
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
