/// @file
/// Account of the capacity that this host holds.
#ifndef COMFREYVANE_STEER_CAPACITY_LEDGER_H_
#define COMFREYVANE_STEER_CAPACITY_LEDGER_H_

#include <cstdint>
#include <optional>
#include <unordered_map>

#include "comfreyvane/base/basic_id.h"
#include "comfreyvane/base/time.h"
#include "comfreyvane/steer/capacity_ramp.h"
#include "comfreyvane/steer/expiring_sum.h"
#include "comfreyvane/steer/headroom_grant.h"
#include "comfreyvane/steer/service_demand.h"
#include "comfreyvane/steer/shortage.h"
#include "comfreyvane/steer/steering_path.h"
#include "comfreyvane/steer/workspace_balance.h"

namespace comfreyvane {

/// Accounts for capacity of regions, failure domains, sites and links. Answers
/// reserve what their clients will use until they expire, and only within what
/// this host holds under a lease that outlives them. As the parts of all hosts
/// add up to the capacity, hosts that cannot talk never exceed it together.
class CapacityLedger {
 public:
  /// Takes over a grant: a new one, a renewal, or another size.
  void Grant(const HeadroomGrant& grant);

  /// Takes a resource as down: nothing more is steered to it.
  void MarkDown(ResourceId resource);

  /// Takes a resource that was down as up; its capacity ramps up.
  void MarkUp(ResourceId resource, TimePoint now);

  /// Takes a resource as cold: its capacity ramps up.
  void StartRamp(ResourceId resource, TimePoint now);

  /// Sets the weight of a workspace in scarce regions.
  void SetWeight(WorkspaceId workspace, std::uint32_t weight);

  /// Notes that a workspace asks for room in a region.
  void RecordDemand(ResourceId region,
                    WorkspaceId workspace,
                    const ServiceDemand& demand,
                    TimePoint expires,
                    TimePoint now);

  /// Reserves the demand on the path until it expires. Check must have
  /// returned nothing for the same path, demand, life and time.
  void Reserve(const SteeringPath& path,
               WorkspaceId workspace,
               const ServiceDemand& demand,
               TimePoint expires,
               TimePoint now);

  /// @param min_lifetime shortest life of an answer in the client's cache.
  /// @return what stands against the answer, or nothing.
  [[nodiscard]] std::optional<Shortage> Check(const SteeringPath& path,
                                              WorkspaceId workspace,
                                              const ServiceDemand& demand,
                                              Duration min_lifetime,
                                              TimePoint now) const;

  /// @return time for which this host holds all of the path; zero if not all.
  [[nodiscard]] Duration RemainingLease(const SteeringPath& path,
                                        TimePoint now) const;

  /// @return what may be used of the resource: held, after failure and ramp.
  [[nodiscard]] std::int64_t Usable(ResourceId resource, TimePoint now) const;

  /// @return what answers alive use of the resource.
  [[nodiscard]] std::int64_t Reserved(ResourceId resource, TimePoint now) const;

  /// @return what may be given to another host at once: held and not in use.
  [[nodiscard]] std::int64_t Free(ResourceId resource, TimePoint now) const;

 private:
  struct Account {
    HeadroomGrant grant;
    bool failed = false;
    CapacityRamp ramp;
    ExpiringSum reserved;
  };

  [[nodiscard]] std::optional<Shortage> CheckResource(ResourceId resource,
                                                      std::int64_t rate,
                                                      Duration min_lifetime,
                                                      TimePoint now) const;
  [[nodiscard]] std::optional<Shortage> CheckFairShare(ResourceId region,
                                                       WorkspaceId workspace,
                                                       std::int64_t rate,
                                                       TimePoint now) const;

  [[nodiscard]] WorkspaceBalance& BalanceOf(ResourceId region);

  std::unordered_map<ResourceId, Account> accounts_;
  std::unordered_map<ResourceId, WorkspaceBalance> balances_;
  std::unordered_map<WorkspaceId, std::uint32_t> weights_;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_STEER_CAPACITY_LEDGER_H_
