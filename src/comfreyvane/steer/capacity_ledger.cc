#include "comfreyvane/steer/capacity_ledger.h"

#include <algorithm>
#include <array>
#include <cassert>

namespace comfreyvane {
namespace {

/// Retry advice while a lease awaits renewal or a resource is down.
constexpr Duration kRetryAfterOutage = std::chrono::seconds(1);

std::array<ResourceId, 3> ResourcesOf(const SteeringPath& path) {
  return {path.site, path.failure_domain, path.region};
}

}  // namespace

void CapacityLedger::Grant(const HeadroomGrant& grant) {
  assert(grant.rate >= 0);
  accounts_[grant.resource].grant = grant;
}

void CapacityLedger::MarkDown(ResourceId resource) {
  accounts_[resource].failed = true;
}

void CapacityLedger::MarkUp(ResourceId resource, TimePoint now) {
  Account& account = accounts_[resource];
  if (!account.failed)
    return;
  account.failed = false;
  account.ramp.Start(now);
}

void CapacityLedger::StartRamp(ResourceId resource, TimePoint now) {
  accounts_[resource].ramp.Start(now);
}

void CapacityLedger::SetWeight(WorkspaceId workspace, std::uint32_t weight) {
  weights_[workspace] = weight;
  for (auto& [region, balance] : balances_)
    balance.SetWeight(workspace, weight);
}

WorkspaceBalance& CapacityLedger::BalanceOf(ResourceId region) {
  const auto [found, added] = balances_.try_emplace(region);
  if (added) {
    for (const auto& [workspace, weight] : weights_)
      found->second.SetWeight(workspace, weight);
  }
  return found->second;
}

void CapacityLedger::RecordDemand(ResourceId region,
                                  WorkspaceId workspace,
                                  const ServiceDemand& demand,
                                  TimePoint expires,
                                  TimePoint now) {
  BalanceOf(region).RecordDemand(workspace, demand.rate, expires, now);
}

void CapacityLedger::Reserve(const SteeringPath& path,
                             WorkspaceId workspace,
                             const ServiceDemand& demand,
                             TimePoint expires,
                             TimePoint now) {
  for (const ResourceId resource : ResourcesOf(path))
    accounts_.at(resource).reserved.Add(demand.rate, expires, now);
  if (path.link)
    accounts_.at(*path.link).reserved.Add(demand.link_bits, expires, now);
  BalanceOf(path.region).RecordUse(workspace, demand.rate, expires, now);
}

std::optional<Shortage> CapacityLedger::Check(const SteeringPath& path,
                                              WorkspaceId workspace,
                                              const ServiceDemand& demand,
                                              Duration min_lifetime,
                                              TimePoint now) const {
  for (const ResourceId resource : ResourcesOf(path)) {
    if (auto shortage = CheckResource(resource, demand.rate, min_lifetime, now))
      return shortage;
  }
  if (path.link) {
    if (auto shortage =
            CheckResource(*path.link, demand.link_bits, min_lifetime, now))
      return shortage;
  }
  return CheckFairShare(path.region, workspace, demand.rate, now);
}

std::optional<Shortage> CapacityLedger::CheckResource(ResourceId resource,
                                                      std::int64_t rate,
                                                      Duration min_lifetime,
                                                      TimePoint now) const {
  const auto found = accounts_.find(resource);
  Shortage shortage{.resource = resource, .retry_after = kRetryAfterOutage};
  if (found == accounts_.end())
    return shortage;
  const Account& account = found->second;
  shortage.usable = Usable(resource, now);
  shortage.reserved = account.reserved.Total(now);
  if (account.failed)
    shortage.reason = ShortageReason::kFailed;
  else if (account.grant.expires <= now)
    shortage.reason = ShortageReason::kNotHeld;
  else if (account.grant.expires < now + min_lifetime)
    shortage.reason = ShortageReason::kLeaseEnding;
  else if (shortage.reserved + rate > shortage.usable)
    shortage.reason = ShortageReason::kFull;
  else
    return std::nullopt;
  if (shortage.reason == ShortageReason::kFull)
    shortage.retry_after = account.reserved.UntilExpired(
        shortage.reserved + rate - shortage.usable, now);
  return shortage;
}

std::optional<Shortage> CapacityLedger::CheckFairShare(ResourceId region,
                                                       WorkspaceId workspace,
                                                       std::int64_t rate,
                                                       TimePoint now) const {
  const auto balance = balances_.find(region);
  const std::int64_t usable = Usable(region, now);
  const std::int64_t reserved = Reserved(region, now);
  if (balance == balances_.end() ||
      balance->second.Admits(workspace, rate, usable, reserved, now))
    return std::nullopt;
  return Shortage{
      .resource = region,
      .reason = ShortageReason::kFairShare,
      .usable = usable,
      .reserved = reserved,
      .retry_after = accounts_.at(region).reserved.UntilExpired(rate, now)};
}

Duration CapacityLedger::RemainingLease(const SteeringPath& path,
                                        TimePoint now) const {
  const auto lease_left = [&](ResourceId resource) {
    const auto found = accounts_.find(resource);
    return found == accounts_.end() ? Duration(0)
                                    : found->second.grant.expires - now;
  };
  Duration shortest = path.link ? lease_left(*path.link) : Duration::max();
  for (const ResourceId resource : ResourcesOf(path))
    shortest = std::min(shortest, lease_left(resource));
  return std::max(shortest, Duration(0));
}

std::int64_t CapacityLedger::Usable(ResourceId resource, TimePoint now) const {
  const auto found = accounts_.find(resource);
  if (found == accounts_.end() || found->second.failed ||
      found->second.grant.expires <= now)
    return 0;
  return found->second.ramp.Usable(found->second.grant.rate, now);
}

std::int64_t CapacityLedger::Reserved(ResourceId resource,
                                      TimePoint now) const {
  const auto found = accounts_.find(resource);
  return found == accounts_.end() ? 0 : found->second.reserved.Total(now);
}

std::int64_t CapacityLedger::Free(ResourceId resource, TimePoint now) const {
  const auto found = accounts_.find(resource);
  if (found == accounts_.end() || found->second.grant.expires <= now)
    return 0;
  return std::max<std::int64_t>(
      found->second.grant.rate - found->second.reserved.Total(now), 0);
}

}  // namespace comfreyvane
