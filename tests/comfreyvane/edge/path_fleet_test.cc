/// @file
/// Plays fleets of several hosts that lose their paths to backend servers.
#include <set>

#include "support/criterion.h"
#include "support/path_fleet.h"

using namespace comfreyvane;
using namespace comfreyvane::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;
using Cut = PathFleet::Cut;

namespace {

/// Bounds of the target: from this time after the cut on, callers of hosts that
/// are cut are served this share as often as those of the others.
constexpr Duration kSettled = milliseconds(1500);
constexpr double kMinShareOfOthers = 0.95;
constexpr double kMinShare = 0.99;

constexpr std::size_t kFleets[] = {8, 60, 300};

/// @return three fifths of the hosts.
std::set<std::size_t> MostOf(std::size_t hosts) {
  std::set<std::size_t> most;
  for (std::size_t i = 0; i < hosts; ++i) {
    if (i * 3 % 5 < 3)
      most.insert(i);
  }
  return most;
}

/// @return the hosts of the first failure domain.
std::set<std::size_t> DomainOf(std::size_t hosts) {
  std::set<std::size_t> domain;
  for (std::size_t i = 0; i < hosts; ++i) {
    if (PathFleet::DomainOf(i) == 0)
      domain.insert(i);
  }
  return domain;
}

void SetCuts(PathFleet& fleet, const std::set<std::size_t>& hosts, Cut cut) {
  for (const std::size_t host : hosts)
    fleet.SetCut(host, cut);
}

/// Cuts hosts for ten seconds and checks whom the fleet serves.
void PlayCut(std::size_t hosts,
             const std::set<std::size_t>& cut_hosts,
             Cut cut) {
  PathFleet fleet({.hosts = hosts, .servers = 48});
  fleet.Run(seconds(5));
  SetCuts(fleet, cut_hosts, cut);
  const TimePoint began = fleet.now();
  fleet.Run(seconds(10));
  SetCuts(fleet, cut_hosts, Cut::kNone);
  const TimePoint ended = fleet.now();
  fleet.Run(seconds(8));
  const auto there = fleet.ServedOf(cut_hosts, began + kSettled, ended);
  const auto elsewhere =
      fleet.ServedOf(fleet.Others(cut_hosts), began + kSettled, ended);
  const auto afterwards =
      fleet.ServedOf(fleet.Others({}), ended + kSettled, ended + seconds(6));
  [[maybe_unused]] const int kind = static_cast<int>(cut);
  cr_expect(there.share() >= kMinShareOfOthers * elsewhere.share(),
            "%zu hosts, cut %d: %.3f of %.0f there", hosts, kind, there.share(),
            there.sent);
  cr_expect(elsewhere.share() >= kMinShare,
            "%zu hosts, cut %d: %.3f of %.0f elsewhere", hosts, kind,
            elsewhere.share(), elsewhere.sent);
  cr_expect(afterwards.share() >= kMinShare,
            "%zu hosts, cut %d: %.3f of %.0f afterwards", hosts, kind,
            afterwards.share(), afterwards.sent);
  cr_expect(fleet.MostRuns() == 1, "%zu hosts, cut %d: %d runs", hosts, kind,
            fleet.MostRuns());
}

}  // namespace

Test(path_fleet, callers_of_most_hosts_are_served_without_a_path) {
  for (const std::size_t hosts : kFleets) {
    for (const Cut cut : {Cut::kHang, Cut::kReset, Cut::kRefuse})
      PlayCut(hosts, MostOf(hosts), cut);
  }
}

Test(path_fleet, callers_of_a_failure_domain_are_served_without_a_path) {
  for (const std::size_t hosts : kFleets) {
    for (const Cut cut : {Cut::kHang, Cut::kReset, Cut::kRefuse})
      PlayCut(hosts, DomainOf(hosts), cut);
  }
}

Test(path_fleet, carriers_share_what_they_carry) {
  for (const std::size_t hosts : {60U, 300U}) {
    const std::set<std::size_t> cut_hosts = MostOf(hosts);
    PathFleet fleet({.hosts = hosts, .servers = 48});
    fleet.Run(seconds(5));
    SetCuts(fleet, cut_hosts, Cut::kHang);
    fleet.Run(seconds(10));
    const std::set<std::size_t> carriers = fleet.Others(cut_hosts);
    std::size_t total = 0;
    std::size_t most = 0;
    for (const std::size_t host : carriers) {
      total += fleet.CarriedBy(host);
      most = std::max(most, fleet.CarriedBy(host));
    }
    const double mean = static_cast<double>(total) / carriers.size();
    cr_expect(static_cast<double>(most) <= 3.0 * mean,
              "%zu hosts: %zu at one, %.0f on average", hosts, most, mean);
  }
}

Test(path_fleet, a_host_cut_from_one_failure_domain_keeps_the_others) {
  for (const std::size_t hosts : kFleets) {
    PathFleet fleet({.hosts = hosts, .servers = 48});
    fleet.Run(seconds(5));
    fleet.SetCut(0, Cut::kHang, 1);
    const TimePoint began = fleet.now();
    fleet.Run(seconds(10));
    const auto there =
        fleet.ServedOf({0}, began + seconds(3), began + seconds(8));
    cr_expect(there.share() >= kMinShareOfOthers, "%zu hosts: %.3f of %.0f",
              hosts, there.share(), there.sent);
  }
}

Test(path_fleet, calm_and_frozen_hosts_lose_no_path) {
  for (const std::size_t hosts : kFleets) {
    PathFleet fleet({.hosts = hosts, .servers = 48});
    fleet.Run(seconds(10));
    // Less than one doubt of a host in 200 seconds.
    cr_expect(fleet.probes() <= hosts / 20, "%zu hosts: %zu probes", hosts,
              fleet.probes());
    fleet.Freeze(1, seconds(4));
    fleet.Run(seconds(10));
    for (std::size_t host = 0; host < hosts; ++host)
      cr_expect(fleet.LossesOf(host) == 0U, "host %zu of %zu", host, hosts);
  }
}

Test(path_fleet, restarts_freezes_and_cuts_from_peers_do_not_stop_carriers) {
  for (const std::size_t hosts : kFleets) {
    const std::set<std::size_t> cut_hosts = DomainOf(hosts);
    PathFleet fleet({.hosts = hosts, .servers = 48});
    fleet.Run(seconds(5));
    SetCuts(fleet, cut_hosts, Cut::kHang);
    fleet.Run(seconds(3));
    fleet.Restart(1);
    fleet.Freeze(2, seconds(3));
    fleet.SetCutFromPeers(3, true);
    fleet.Restart(0);
    const TimePoint began = fleet.now();
    fleet.Run(seconds(10));
    const auto there =
        fleet.ServedOf(cut_hosts, began + seconds(3), began + seconds(8));
    cr_expect(there.share() >= kMinShareOfOthers, "%zu hosts: %.3f of %.0f",
              hosts, there.share(), there.sent);
    cr_expect(fleet.MostRuns() == 1, "%zu hosts: %d", hosts, fleet.MostRuns());
  }
}

Test(path_fleet, a_path_that_comes_and_goes_is_followed) {
  for (const std::size_t hosts : kFleets) {
    const std::set<std::size_t> cut_hosts = MostOf(hosts);
    PathFleet fleet({.hosts = hosts, .servers = 48});
    fleet.Run(seconds(5));
    for (int i = 0; i < 3; ++i) {
      SetCuts(fleet, cut_hosts, Cut::kRefuse);
      fleet.Run(seconds(4));
      SetCuts(fleet, cut_hosts, Cut::kNone);
      fleet.Run(seconds(6));
    }
    const auto afterwards = fleet.ServedOf(cut_hosts, fleet.now() - seconds(4),
                                           fleet.now() - seconds(2));
    cr_expect(afterwards.share() >= kMinShare, "%zu hosts: %.3f", hosts,
              afterwards.share());
    for (const std::size_t host : cut_hosts)
      cr_expect(fleet.LossesOf(host) <= 6U, "host %zu of %zu: %zu losses", host,
                hosts, fleet.LossesOf(host));
  }
}
