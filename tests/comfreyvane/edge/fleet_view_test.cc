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

void HeartbeatFromAll(FleetView& view, TimePoint now) {
  for (const FleetHost& host : kHosts)
    view.OnHeartbeat(host.id(), false, now);
}

bool Contains(const std::vector<std::string>& addresses, const char* address) {
  return std::find(addresses.begin(), addresses.end(), address) !=
         addresses.end();
}

}  // namespace

Test(fleet_view, returns_the_addresses_of_the_region) {
  FleetView view = ViewOfW1();
  HeartbeatFromAll(view, kStart);
  const auto west = view.AddressesFor("west", "west-a", false, kStart);
  cr_expect(west == std::vector<std::string>({"w1:80", "w2:80"}));
  const auto unknown = view.AddressesFor("north", "north-a", false, kStart);
  cr_expect_eq(unknown.size(), 4U);
}

Test(fleet_view, omits_hosts_without_heartbeats_and_leaving_hosts) {
  FleetView view = ViewOfW1();
  HeartbeatFromAll(view, kStart);
  view.OnHeartbeat(kHosts[2].id(), true, kStart + milliseconds(1));
  const TimePoint later = kStart + seconds(3);
  view.OnHeartbeat(kHosts[3].id(), false, later);
  const auto addresses = view.AddressesFor("west", "west-a", false, later);
  cr_expect(Contains(addresses, "w1:80"));
  cr_expect(!Contains(addresses, "w2:80"), "no heartbeat");
  cr_expect(!Contains(addresses, "e1:80"), "leaving");
  cr_expect(Contains(addresses, "e2:80"));
}

Test(fleet_view, allows_a_longer_silence_of_hosts_of_other_regions) {
  FleetView view = ViewOfW1();
  HeartbeatFromAll(view, kStart);
  const auto later = kStart + milliseconds(3000);
  const auto east = view.AddressesFor("east", "east-a", false, later);
  cr_expect(east == std::vector<std::string>({"e1:80", "e2:80"}));
  const auto gone =
      view.AddressesFor("east", "east-a", false, kStart + milliseconds(4900));
  cr_expect(gone == std::vector<std::string>({"w1:80"}));
}

Test(fleet_view, a_leaving_host_returns_itself_only_if_it_is_alone) {
  FleetView view = ViewOfW1();
  HeartbeatFromAll(view, kStart);
  cr_expect(
      !Contains(view.AddressesFor("west", "west-a", true, kStart), "w1:80"));
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
    cr_expect(view.Share(kStart) < 0.25,
              "the others may not have read the list yet");
    sum += view.Share(kStart + seconds(10));
  }
  cr_expect(std::abs(sum - 1.0) < 1e-9);
}

Test(fleet_view, shares_of_a_cold_server_sum_to_one) {
  const BackendServerId server = BackendServerId::Of("cold");
  double sum = 0.0;
  for (const FleetHost& self : kHosts) {
    FleetView view(self);
    view.OnListed(kHosts, kStart);
    sum += view.ColdShare(server, FailureDomainId::Of("west-a"));
  }
  cr_expect(std::abs(sum - 1.0) < 1e-9);
}

Test(fleet_view, a_host_in_its_own_first_list_has_its_full_share_at_once) {
  FleetView view(kHosts[0]);
  view.OnListed(kHosts, kStart);
  cr_expect(std::abs(view.Share(kStart) - 0.25) < 1e-9);
}

namespace {

/// Three hosts of one failure domain and one of another.
std::vector<FleetHost> HostsOfDomains() {
  std::vector<FleetHost> hosts{
      HostOf("a1", "west", "west-a"), HostOf("a2", "west", "west-a"),
      HostOf("a3", "west", "west-a"), HostOf("b1", "west", "west-b")};
  for (FleetHost& host : hosts)
    host.processor_share = 0.1;
  return hosts;
}

FleetView ViewOf(const FleetHost& self, const std::vector<FleetHost>& hosts) {
  FleetView view(self);
  view.OnListed(hosts, kStart);
  for (const FleetHost& host : hosts)
    view.OnHeartbeat(host.id(), false, kStart);
  return view;
}

}  // namespace

Test(fleet_view, one_host_of_a_failure_domain_relays_the_store) {
  std::vector<FleetHost> hosts = HostsOfDomains();
  hosts[1].processor_share = 0.5;
  for (const std::size_t i : {0, 2}) {
    const auto relay = ViewOf(hosts[i], hosts).FindRelay(kStart);
    cr_assert(relay);
    cr_expect(relay->name == "a2", "the largest share of a processor");
  }
  cr_expect(!ViewOf(hosts[1], hosts).FindRelay(kStart), "it relays itself");
  cr_expect(!ViewOf(hosts[3], hosts).FindRelay(kStart), "alone in its domain");
}

Test(fleet_view, hosts_agree_on_the_relay_among_equals) {
  const std::vector<FleetHost> hosts = HostsOfDomains();
  int relays = 0;
  for (std::size_t i = 0; i < 3; ++i)
    relays += ViewOf(hosts[i], hosts).FindRelay(kStart) ? 0 : 1;
  cr_expect_eq(relays, 1);
}

Test(fleet_view, a_relay_that_fails_leaves_or_sends_no_heartbeats_is_replaced) {
  std::vector<FleetHost> hosts = HostsOfDomains();
  hosts[1].processor_share = 0.5;
  hosts[2].processor_share = 0.3;
  FleetView view = ViewOf(hosts[0], hosts);
  view.OnRelayFailed(hosts[1].id(), kStart);
  cr_expect(view.FindRelay(kStart)->name == "a3");
  cr_expect(view.FindRelay(kStart + seconds(1))->name == "a2",
            "used again after the backoff");
  view.OnHeartbeat(hosts[1].id(), true, kStart);
  cr_expect(view.FindRelay(kStart + seconds(1))->name == "a3");
  cr_expect(!view.FindRelay(kStart + seconds(2)),
            "no other host sends heartbeats");
}

Test(fleet_view, one_host_of_a_failure_domain_pools_its_limits) {
  std::vector<FleetHost> hosts = HostsOfDomains();
  hosts[1].processor_share = 0.5;
  const FleetView first = ViewOf(hosts[0], hosts);
  cr_expect(!first.IsLimitPool(kStart));
  cr_expect(first.LimitPool(kStart).name == "a2");
  const FleetView pool = ViewOf(hosts[1], hosts);
  cr_expect(pool.IsLimitPool(kStart));
  cr_expect(std::abs(pool.OtherSharesInDomain() - 0.5) < 1e-9);
  const auto others = pool.OtherLimitPools(kStart);
  cr_assert_eq(others.size(), 1U);
  cr_expect(others[0].name == "b1");
  const FleetView alone = ViewOf(hosts[3], hosts);
  cr_expect(alone.IsLimitPool(kStart) && alone.OtherSharesInDomain() == 0.0);
  cr_expect(alone.OtherLimitPools(kStart)[0].name == "a2");
}

Test(fleet_view,
     a_cold_server_gets_requests_from_its_own_failure_domain_first) {
  std::vector<FleetHost> hosts = HostsOfDomains();
  for (int i = 0; i < 5; ++i)
    hosts.push_back(HostOf("c" + std::to_string(i), "west", "west-c"));
  const BackendServerId server = BackendServerId::Of("cold");
  const FailureDomainId domain = FailureDomainId::Of("west-a");
  for (const FleetHost& host : hosts) {
    const double share = ViewOf(host, hosts).ColdShare(server, domain);
    cr_expect_eq(share > 0.0, host.failure_domain == "west-a", "%s",
                 host.name.c_str());
  }
}

Test(fleet_view, hosts_agree_on_their_ranks_for_a_limited_server) {
  const BackendServerId server = BackendServerId::Of("limited");
  const auto domain = FailureDomainId::Of("east-b");
  std::vector<std::size_t> ranks;
  for (const FleetHost& self : kHosts) {
    FleetView view(self);
    view.OnListed(kHosts, kStart);
    const LimitRank rank = view.LimitRankFor(server, domain, false, kStart);
    cr_expect_eq(rank.hosts, 4U);
    ranks.push_back(rank.rank);
  }
  cr_expect_eq(ranks[3], 0U);
  std::sort(ranks.begin(), ranks.end());
  cr_expect(ranks == std::vector<std::size_t>({0, 1, 2, 3}));
}

Test(fleet_view, new_and_leaving_hosts_come_after_all_for_a_limit) {
  const BackendServerId server = BackendServerId::Of("limited");
  const auto domain = FailureDomainId::Of("west-a");
  FleetView view(kHosts[0]);
  view.OnListed({kHosts[1], kHosts[2]}, kStart);
  view.OnListed(kHosts, kStart + seconds(1));
  const auto rank_at = [&](TimePoint now, bool leaving) {
    return view.LimitRankFor(server, domain, leaving, now).rank;
  };
  cr_expect(rank_at(kStart + seconds(2), false) > kHosts.size());
  cr_expect_eq(rank_at(kStart + seconds(5), false), 0U);
  cr_expect(rank_at(kStart + seconds(5), true) > kHosts.size());
  cr_expect_eq(view.LimitReporters(server, domain).size(), 1U);
}
