/// @file
/// Accounts for the capacity leased to this host.
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

/// Accounts for the capacity of regions, failure domains, sites and links.
/// An answer reserves the expected load of its clients until it expires. It is
/// given only within the capacity that this host holds under leases that
/// outlive the answer. The leases of all hosts add up to at most the capacity,
/// so hosts stay within it together even if they cannot communicate.
class CapacityLedger {
 public:
  /// Replaces the lease on a resource by a new, renewed or resized one.
  void Grant(const HeadroomGrant& grant);

  /// Marks a resource as down; no further answers use it.
  void MarkDown(ResourceId resource);

  /// Marks a resource as up. If it was down, its capacity ramps up.
  void MarkUp(ResourceId resource, TimePoint now);

  /// Treats a resource as cold and ramps its capacity up.
  void StartRamp(ResourceId resource, TimePoint now);

  /// Sets the weight of a workspace for the division of scarce regions.
  void SetWeight(WorkspaceId workspace, std::uint32_t weight);

  /// Records that a workspace requests capacity in a region, granted or not.
  void RecordDemand(ResourceId region,
                    WorkspaceId workspace,
                    const ServiceDemand& demand,
                    TimePoint expires,
                    TimePoint now);

  /// Reserves the demand on the path until `expires`. Check must have returned
  /// no shortage for the same path, demand, lifetime and time.
  void Reserve(const SteeringPath& path,
               WorkspaceId workspace,
               const ServiceDemand& demand,
               TimePoint expires,
               TimePoint now);

  /// @param min_lifetime shortest time for which a client may use the answer.
  /// @return the first shortage that rules the answer out, or nothing.
  [[nodiscard]] std::optional<Shortage> Check(const SteeringPath& path,
                                              WorkspaceId workspace,
                                              const ServiceDemand& demand,
                                              Duration min_lifetime,
                                              TimePoint now) const;

  /// @return the remaining time of the lease on the path that ends first; zero
  ///     if one is missing or expired.
  [[nodiscard]] Duration RemainingLease(const SteeringPath& path,
                                        TimePoint now) const;

  /// @return the leased rate that may be used; zero if the resource is down,
  ///     reduced while it ramps up.
  [[nodiscard]] std::int64_t Usable(ResourceId resource, TimePoint now) const;

  /// @return the rate reserved by unexpired answers.
  [[nodiscard]] std::int64_t Reserved(ResourceId resource, TimePoint now) const;

  /// @return the leased rate that is not reserved and can be released at once.
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
