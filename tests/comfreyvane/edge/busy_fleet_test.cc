/// @file
/// Plays fleets whose backend servers are busy, beside hosts that are cut.
#include "support/busy_fleet.h"

#include <functional>

#include "support/criterion.h"

using namespace comfreyvane;
using namespace comfreyvane::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;
using Cut = BusyFleet::Cut;

namespace {

constexpr std::size_t kFleets[] = {8, 60, 300};
constexpr std::uint64_t kSeeds[] = {1, 2, 3};

/// Load at which requests wait for about the time that they may take.
constexpr double kBusy = 1.1;

/// Time in which a host with two requests/s for a failure domain finds out that
/// connects there fail, and that its connections are dead though its servers
/// accept them and may be busy.
constexpr Duration kNoticed = milliseconds(3500);
constexpr Duration kDeadNoticed = seconds(10);

/// Time after a cut in which probes have waited for slots of busy servers.
constexpr Duration kRegained = seconds(10);

/// @param except a host that may lose paths.
void ExpectNothingLost(const BusyFleet& fleet,
                       const BusyFleet::Options& options,
                       std::optional<std::size_t> except = std::nullopt) {
  std::size_t losses = 0;
  for (std::size_t host = 0; host < options.hosts; ++host)
    losses += host == except ? 0 : fleet.LossesOf(host);
  cr_expect(losses == 0U, "%zu hosts, seed %lu: %zu paths lost", options.hosts,
            options.seed, losses);
  cr_expect(fleet.abandoned() == 0U,
            "%zu hosts, seed %lu: %zu requests given up at work", options.hosts,
            options.seed, fleet.abandoned());
}

void ForEachFleet(const std::function<void(const BusyFleet::Options&)>& play) {
  for (const std::size_t hosts : kFleets) {
    for (const std::uint64_t seed : kSeeds)
      play(BusyFleet::Options{.hosts = hosts, .seed = seed});
  }
}

}  // namespace

Test(busy_fleet, busy_servers_of_a_small_failure_domain_are_taken_for_lost) {
  ForEachFleet([](const BusyFleet::Options& options) {
    BusyFleet fleet(options);
    fleet.SetLoad(1, kBusy);
    fleet.SetLoad(4, kBusy);
    fleet.Run(seconds(60));
    cr_expect(fleet.longest_silence() > seconds(1), "nothing waited");
    ExpectNothingLost(fleet, options);
  });
}

Test(busy_fleet, busy_servers_are_taken_for_lost_after_a_restart) {
  ForEachFleet([](const BusyFleet::Options& options) {
    BusyFleet fleet(options);
    fleet.SetLoad(1, kBusy);
    for (std::size_t i = 0; i < 20; ++i) {
      fleet.Run(seconds(2));
      fleet.Restart(i % options.hosts);
    }
    fleet.Run(seconds(3));
    ExpectNothingLost(fleet, options);
  });
}

Test(busy_fleet, servers_that_turn_slow_are_taken_for_lost) {
  ForEachFleet([](const BusyFleet::Options& options) {
    BusyFleet fleet(options);
    fleet.SetLoad(1, 0.8);
    fleet.Run(seconds(10));
    fleet.SetSlow(1, 2.0);
    fleet.Run(seconds(20));
    ExpectNothingLost(fleet, options);
  });
}

Test(busy_fleet, a_cut_failure_domain_is_lost_beside_a_busy_one) {
  for (const Cut cut : {Cut::kHang, Cut::kDead}) {
    ForEachFleet([cut](const BusyFleet::Options& options) {
      BusyFleet fleet(options);
      fleet.SetHomeOf(3, 0);
      fleet.SetLoad(0, kBusy);
      fleet.SetLoad(1, kBusy);
      fleet.Run(seconds(10));
      fleet.SetCut(0, 3, cut);
      const TimePoint began = fleet.now();
      fleet.Run(seconds(20));
      ExpectNothingLost(fleet, options, 0);
      cr_expect(!fleet.LostAt(0, 0) && !fleet.LostAt(0, 1), "%zu hosts",
                options.hosts);
      const auto lost_at = fleet.LostAt(0, 3);
      cr_assert(lost_at.has_value(), "seed %lu", options.seed);
      const Duration most = cut == Cut::kHang ? kNoticed : kDeadNoticed;
      cr_expect(*lost_at - began <= most, "seed %lu, cut %d: %lld ms",
                options.seed, static_cast<int>(cut),
                static_cast<long long>((*lost_at - began) / milliseconds(1)));
    });
  }
}

Test(busy_fleet, a_lost_path_to_busy_servers_does_not_come_back) {
  for (const std::size_t hosts : {2U, 8U, 60U}) {
    for (const Cut cut : {Cut::kHang, Cut::kDead}) {
      BusyFleet fleet({.hosts = hosts});
      fleet.SetHomeOf(1, 0);
      fleet.SetLoad(1, kBusy);
      fleet.Run(seconds(10));
      fleet.SetCut(0, 1, cut);
      fleet.Run(seconds(10));
      cr_expect(cut == Cut::kDead || !fleet.Reaches(0, 1), "%zu hosts", hosts);
      fleet.SetCut(0, 1, Cut::kNone);
      fleet.Run(kRegained);
      cr_expect(fleet.Reaches(0, 1), "%zu hosts, cut %d", hosts,
                static_cast<int>(cut));
    }
  }
}
