#include "comfreyvane/steer/steering_core.h"

#include <algorithm>
#include <functional>
#include <set>
#include <variant>

#include "comfreyvane/steer/resource_id.h"
#include "comfreyvane/steer/small_deployment.h"
#include "support/criterion.h"

using namespace comfreyvane;
using namespace comfreyvane::testing;
using std::chrono::seconds;

namespace {

struct Fixture {
  SteeringCore core{SteeringSettings{}};

  Fixture() {
    const auto configuration = SmallConfiguration({5000, 5000, 0}, 500);
    core.Configure(Revision(1), configuration, {}, At(0));
    core.SetTable(Table(3));
    core.SetHosts(Hosts(3));
    GrantAll(At(1000));
  }

  void GrantAll(TimePoint expires) {
    const auto configuration = SmallConfiguration({5000, 5000, 0}, 500);
    for (const auto& capacity : CapacitiesOf(configuration))
      core.Grant({capacity.resource, capacity.rate, expires});
  }
};

LookupRequest RequestOf(std::uint32_t client) {
  return {
      .client = ClientAddress::V4((10U << 24U) | (1U << 16U) | client << 8U),
      .service = kService,
      .workspace = kLight};
}

const SteeringAnswer& AnswerOf(const SteeringDecision& decision) {
  cr_assert(std::holds_alternative<SteeringAnswer>(decision.outcome));
  return std::get<SteeringAnswer>(decision.outcome);
}

int DomainOf(const EntryHost& host) {
  for (const auto& view : Hosts(3)) {
    if (view.id == host.id)
      return view.failure_domain == DomainNumber(1)   ? 1
             : view.failure_domain == DomainNumber(2) ? 2
                                                      : 3;
  }
  return 0;
}

}  // namespace

Test(steering_core, names_hosts_near_the_site_and_one_in_another_domain) {
  Fixture fixture;
  std::set<std::uint64_t> first_hosts;
  for (std::uint32_t client = 0; client < 100; ++client) {
    const auto decision = fixture.core.Steer(RequestOf(client), At(1));
    const auto& answer = AnswerOf(decision);
    const int site = answer.site == SiteNumber(1) ? 1 : 2;
    cr_assert(answer.hosts.size() == 3);
    cr_expect(DomainOf(answer.hosts[0]) == site);
    cr_expect(DomainOf(answer.hosts[1]) == site);
    cr_expect(DomainOf(answer.hosts[2]) != site);
    cr_expect(answer.ttl == seconds(10));
    cr_expect(decision.explanation.rule == SteeringRule::kShare);
    cr_expect(decision.explanation.nearest == SiteNumber(1));
    first_hosts.insert(answer.hosts[0].id.value());
    cr_expect(AnswerOf(fixture.core.Steer(RequestOf(client), At(2))) == answer);
  }
  cr_expect(first_hosts.size() == 4);
}

Test(steering_core, names_one_host_for_requests_that_must_not_run_twice) {
  Fixture fixture;
  LookupRequest request = RequestOf(1);
  request.idempotent = false;
  cr_expect(AnswerOf(fixture.core.Steer(request, At(1))).hosts.size() == 1);
}

Test(steering_core, omits_leaving_hosts_and_avoids_overloaded_ones) {
  Fixture fixture;
  auto hosts = Hosts(3);
  hosts[0].leaving = true;
  hosts[2].load = 100;
  hosts[3].load = 10;
  fixture.core.SetHosts(hosts);
  for (std::uint32_t client = 0; client < 100; ++client) {
    const auto decision = fixture.core.Steer(RequestOf(client), At(1));
    const auto& answer = AnswerOf(decision);
    for (const auto& host : answer.hosts)
      cr_expect(host.id != hosts[0].id);
    cr_expect(answer.hosts[0].id ==
              (answer.site == SiteNumber(1) ? hosts[1].id : hosts[3].id));
  }
}

Test(steering_core, refuses_with_the_reason) {
  struct Row {
    SteeringRule rule;
    RefusalReason reason;
    std::function<void(Fixture&, LookupRequest&)> arrange;
  };
  const std::vector<Row> rows{
      {SteeringRule::kUnknownService, RefusalReason::kRouteUnknown,
       [](Fixture&, LookupRequest& r) { r.service = ServiceId::Of("none"); }},
      {SteeringRule::kNoHost, RefusalReason::kSiteUnavailable,
       [](Fixture& f, LookupRequest&) { f.core.SetHosts({}); }},
      {SteeringRule::kNoRoom, RefusalReason::kRegionFull,
       [](Fixture& f, LookupRequest&) { f.GrantAll(At(1)); }},
      {SteeringRule::kNoRoom, RefusalReason::kRegionFull,
       [](Fixture& f, LookupRequest&) {
         f.core.SetDemand(kService, {.rate = 2'000'000});
       }},
      {SteeringRule::kNoSiteUp, RefusalReason::kSiteUnavailable,
       [](Fixture& f, LookupRequest&) {
         for (const int site : {1, 2})
           f.core.Observe(kService, {.site = SiteNumber(site), .up = false},
                          At(1));
       }},
  };
  for (const auto& row : rows) {
    Fixture fixture;
    LookupRequest request = RequestOf(1);
    row.arrange(fixture, request);
    const auto decision = fixture.core.Steer(request, At(1));
    cr_assert(std::holds_alternative<Refusal>(decision.outcome));
    const auto& refusal = std::get<Refusal>(decision.outcome);
    cr_expect(refusal.reason == row.reason);
    cr_expect(refusal.run_state == RunState::kNotRun);
    cr_expect(decision.explanation.rule == row.rule);
  }
}

Test(steering_core, answers_expire_no_later_than_the_leases) {
  Fixture fixture;
  fixture.GrantAll(At(8));
  cr_expect(AnswerOf(fixture.core.Steer(RequestOf(1), At(1))).ttl ==
            seconds(5));
  const auto late = fixture.core.Steer(RequestOf(1), At(6));
  cr_assert(std::holds_alternative<Refusal>(late.outcome));
  cr_expect(late.explanation.shortage->reason == ShortageReason::kLeaseEnding);
}

Test(steering_core, only_a_failed_site_overflows_to_a_gaining_one) {
  Fixture fixture;
  fixture.core.Configure(
      Revision(2), SmallConfiguration({5000, 4000, 1000}, 500), {}, At(0));
  for (const int site : {1, 2, 3})
    fixture.core.Observe(kService,
                         {.site = SiteNumber(site),
                          .rate = 100,
                          .headroom = 1000,
                          .measured_at = At(0)},
                         At(0));
  const auto fleet = fixture.core.Shift(kService)->OwnProgress(At(0));
  fixture.core.ObserveFleet(kService, fleet, At(-20));
  cr_assert(fixture.core.Tick(At(0)).size() == 1);
  cr_assert(fixture.core.Shift(kService)->IsGaining(SiteNumber(3)));
  fixture.core.Grant({SiteResource(SiteNumber(1)), 0, At(1000)});
  std::set<std::uint64_t> full;
  std::set<std::uint64_t> failed;
  for (std::uint32_t client = 0; client < 100; ++client) {
    const auto decision = fixture.core.Steer(RequestOf(client), At(1));
    if (decision.explanation.share_site == SiteNumber(1))
      full.insert(AnswerOf(decision).site.value());
  }
  cr_expect(full == std::set<std::uint64_t>{SiteNumber(2).value()});
  fixture.core.Observe(kService, {.site = SiteNumber(1), .up = false}, At(2));
  for (std::uint32_t client = 0; client < 100; ++client) {
    const auto decision = fixture.core.Steer(RequestOf(client), At(2));
    if (decision.explanation.share_site == SiteNumber(1))
      failed.insert(AnswerOf(decision).site.value());
  }
  cr_expect(failed.size() == 2);
}

Test(steering_core, decide_changes_no_state) {
  Fixture fixture;
  const auto region = RegionResource(RegionId::Of("region1"));
  const auto decision = fixture.core.Decide(RequestOf(1), At(1));
  cr_expect(fixture.core.ledger().Reserved(region, At(1)) == 0);
  cr_expect(fixture.core.Steer(RequestOf(1), At(1)) == decision);
}

Test(steering_core, keeps_the_newest_configuration_and_table) {
  Fixture fixture;
  fixture.core.Configure(Revision(1), {}, {}, At(0));
  cr_expect(fixture.core.Shift(kService) != nullptr);
  cr_expect(fixture.core.revision() == Revision(1));
  LookupTableBuilder older{Revision(0)};
  fixture.core.SetTable(*older.Build());
  cr_expect(fixture.core.Decide(RequestOf(1), At(1)).explanation.nearest ==
            SiteNumber(1));
}
