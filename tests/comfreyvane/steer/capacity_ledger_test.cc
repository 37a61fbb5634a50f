#include "comfreyvane/steer/capacity_ledger.h"

#include <array>
#include <vector>

#include "comfreyvane/steer/resource_id.h"
#include "support/criterion.h"

using namespace comfreyvane;
using std::chrono::seconds;

namespace {

const WorkspaceId kFirst(1);
const WorkspaceId kSecond(2);
const SteeringPath kPath{
    SiteResource(SiteId(1)), FailureDomainResource(FailureDomainId(1)),
    RegionResource(RegionId(1)), LinkResource(RegionId(2), RegionId(1))};
const ServiceDemand kDemand{.rate = 1000, .link_bits = 8000};
constexpr Duration kAnswerLifetime = seconds(10);

TimePoint At(int second) {
  return TimePoint(seconds(1000 + second));
}

std::vector<ResourceId> Resources() {
  return {kPath.site, kPath.failure_domain, kPath.region, *kPath.link};
}

/// @return a ledger with capacity for ten answers on each resource, leased
///     until second 100.
CapacityLedger Ledger() {
  CapacityLedger ledger;
  for (const ResourceId resource : Resources())
    ledger.Grant({resource, resource == *kPath.link ? 80000 : 10000, At(100)});
  return ledger;
}

int Fill(CapacityLedger& ledger,
         WorkspaceId workspace,
         int requested,
         int second) {
  int taken = 0;
  for (int i = 0; i < requested; ++i) {
    const TimePoint expires = At(second) + kAnswerLifetime;
    const bool room =
        !ledger.Check(kPath, workspace, kDemand, kAnswerLifetime, At(second));
    ledger.RecordDemand(kPath.region, workspace, kDemand, expires, At(second));
    if (!room)
      continue;
    ledger.Reserve(kPath, workspace, kDemand, expires, At(second));
    ++taken;
  }
  return taken;
}

ShortageReason ReasonAt(const CapacityLedger& ledger, int second) {
  const auto shortage =
      ledger.Check(kPath, kFirst, kDemand, kAnswerLifetime, At(second));
  cr_assert(shortage.has_value());
  return shortage->reason;
}

}  // namespace

Test(capacity_ledger, reserves_no_more_than_is_leased_of_any_resource) {
  for (const ResourceId resource : Resources()) {
    CapacityLedger ledger = Ledger();
    ledger.Grant({resource, resource == *kPath.link ? 24000 : 3000, At(100)});
    cr_expect(Fill(ledger, kFirst, 20, 0) == 3);
    const auto shortage =
        ledger.Check(kPath, kFirst, kDemand, kAnswerLifetime, At(0));
    cr_assert(shortage.has_value());
    cr_expect(shortage->resource == resource);
    cr_expect(shortage->reason == ShortageReason::kFull);
    cr_expect(shortage->retry_after == kAnswerLifetime);
    cr_expect(Fill(ledger, kFirst, 20, 9) == 0);
    cr_expect(Fill(ledger, kFirst, 20, 10) == 3);
  }
}

Test(capacity_ledger, checks_the_lease_at_use) {
  CapacityLedger ledger = Ledger();
  cr_expect(!ledger.Check(kPath, kFirst, kDemand, kAnswerLifetime, At(90)));
  cr_expect(ReasonAt(ledger, 91) == ShortageReason::kLeaseEnding);
  cr_expect(ReasonAt(ledger, 100) == ShortageReason::kNotHeld);
  cr_expect(ledger.RemainingLease(kPath, At(90)) == seconds(10));
  cr_expect(ledger.Free(kPath.site, At(99)) == 10000);
  cr_expect(ledger.Free(kPath.site, At(100)) == 0);
  cr_expect(ledger.Usable(kPath.site, At(99)) == 10000);
  cr_expect(ledger.Usable(kPath.site, At(100)) == 0);
  cr_expect(CapacityLedger().Check(kPath, kFirst, kDemand, kAnswerLifetime,
                                   At(0)) != std::nullopt);
}

Test(capacity_ledger, frees_only_unreserved_capacity) {
  CapacityLedger ledger = Ledger();
  Fill(ledger, kFirst, 4, 0);
  cr_expect(ledger.Free(kPath.site, At(0)) == 6000);
  ledger.Grant({kPath.site, 2000, At(100)});
  cr_expect(ledger.Free(kPath.site, At(0)) == 0);
  cr_expect(ReasonAt(ledger, 0) == ShortageReason::kFull);
}

Test(capacity_ledger, ramps_up_a_recovered_resource) {
  CapacityLedger ledger = Ledger();
  ledger.MarkDown(kPath.region);
  cr_expect(ReasonAt(ledger, 0) == ShortageReason::kFailed);
  ledger.MarkUp(kPath.region, At(1));
  cr_expect(ledger.Usable(kPath.region, At(1)) == 1000);
  cr_expect(Fill(ledger, kFirst, 20, 1) == 1);
  cr_expect(ledger.Usable(kPath.region, At(31)) == 5500);
  cr_expect(ledger.Usable(kPath.region, At(61)) == 10000);
  ledger.MarkUp(kPath.region, At(61));
  cr_expect(ledger.Usable(kPath.region, At(61)) == 10000);
}

Test(capacity_ledger, keeps_capacity_for_workspaces_below_their_fair_share) {
  struct Row {
    std::uint32_t weight;  ///< Of the first, with ten times the demand.
    int second_per_lifetime;
  };
  constexpr std::array kRows{Row{1, 5}, Row{4, 2}, Row{9, 1}};
  for (const auto& row : kRows) {
    CapacityLedger ledger = Ledger();
    ledger.SetWeight(kFirst, row.weight);
    int first = 0;
    int second = 0;
    for (int time = 0; time < 60; ++time) {
      const int taken = Fill(ledger, kFirst, 10, time);
      first += time >= 40 ? taken : 0;
      second += Fill(ledger, kSecond, 1, time) * (time >= 40 ? 1 : 0);
    }
    cr_expect(second == 2 * row.second_per_lifetime, "second got %d", second);
    cr_expect(first == 2 * (10 - row.second_per_lifetime), "first got %d",
              first);
  }
}

Test(capacity_ledger, grants_capacity_that_no_other_workspace_demands) {
  CapacityLedger ledger = Ledger();
  cr_expect(Fill(ledger, kSecond, 2, 0) == 2);
  cr_expect(Fill(ledger, kFirst, 50, 1) == 8);
}
