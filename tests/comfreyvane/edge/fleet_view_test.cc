#include "comfreyvane/edge/fleet_view.h"

#include <algorithm>
#include <cmath>

#include "support/criterion.h"

using namespace comfreyvane;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr TimePoint kStart = TimePoint(std::chrono::hours(1));

FleetHost HostOf(const std::string& name,
                 const std::string& region,
                 const std::string& domain) {
  FleetHost host;
  host.name = name;
  host.region = region;
  host.failure_domain = domain;
  host.caller_address = name + ":80";
  return host;
}

const std::vector<FleetHost> kHosts{
    HostOf("w1", "west", "west-a"), HostOf("w2", "west", "west-b"),
    HostOf("e1", "east", "east-a"), HostOf("e2", "east", "east-b")};

FleetView ViewOfW1() {
  FleetView view(kHosts[0]);
  view.OnListed(kHosts, kStart);
  return view;
}

void HearAll(FleetView& view, TimePoint now) {
  for (const FleetHost& host : kHosts)
    view.OnHeard(host.id(), false, now);
}

bool Names(const std::vector<std::string>& addresses, const char* address) {
  return std::find(addresses.begin(), addresses.end(), address) !=
         addresses.end();
}

}  // namespace

Test(fleet_view, answers_with_the_hosts_of_the_region) {
  FleetView view = ViewOfW1();
  HearAll(view, kStart);
  const auto west = view.AddressesFor("west", "west-a", false, kStart);
  cr_expect(west == std::vector<std::string>({"w1:80", "w2:80"}));
  const auto unknown = view.AddressesFor("north", "north-a", false, kStart);
  cr_expect_eq(unknown.size(), 4U);
}

Test(fleet_view, drops_hosts_that_fell_silent_or_are_leaving) {
  FleetView view = ViewOfW1();
  HearAll(view, kStart);
  view.OnHeard(kHosts[2].id(), true, kStart + milliseconds(1));
  const TimePoint later = kStart + seconds(3);
  view.OnHeard(kHosts[3].id(), false, later);
  const auto addresses = view.AddressesFor("west", "west-a", false, later);
  cr_expect(Names(addresses, "w1:80"));
  cr_expect(!Names(addresses, "w2:80"), "silent");
  cr_expect(!Names(addresses, "e1:80"), "leaving");
  cr_expect(Names(addresses, "e2:80"));
}

Test(fleet_view, a_leaving_host_names_others_and_itself_only_if_alone) {
  FleetView view = ViewOfW1();
  HearAll(view, kStart);
  cr_expect(!Names(view.AddressesFor("west", "west-a", true, kStart), "w1:80"));
  const TimePoint later = kStart + seconds(10);
  const auto alone = view.AddressesFor("west", "west-a", true, later);
  cr_expect(alone == std::vector<std::string>({"w1:80"}));
}

Test(fleet_view, shares_of_limits_sum_to_one_at_most) {
  double sum = 0.0;
  for (const FleetHost& self : kHosts) {
    FleetView view(self);
    cr_expect_eq(view.Share(kStart), 0.0);
    view.OnListed({}, kStart);
    view.OnListed(kHosts, kStart);
    cr_expect(view.Share(kStart) < 0.25, "the others may not know it yet");
    sum += view.Share(kStart + seconds(10));
  }
  cr_expect(std::abs(sum - 1.0) < 1e-9);
}

Test(fleet_view, parts_of_a_cold_server_sum_to_one) {
  const BackendServerId server = BackendServerId::Of("cold");
  double sum = 0.0;
  for (const FleetHost& self : kHosts) {
    FleetView view(self);
    view.OnListed(kHosts, kStart);
    sum += view.ColdShare(server);
  }
  cr_expect(std::abs(sum - 1.0) < 1e-9);
}

Test(fleet_view, a_host_that_returns_has_its_share_at_once) {
  FleetView view(kHosts[0]);
  view.OnListed(kHosts, kStart);
  cr_expect(std::abs(view.Share(kStart) - 0.25) < 1e-9);
}
