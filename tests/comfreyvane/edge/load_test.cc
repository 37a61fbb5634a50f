/// @file
/// Service quality under load that results from the decisions of all hosts.
#include "support/criterion.h"
#include "support/fleet_simulation.h"

using namespace comfreyvane::testing;
using std::chrono::seconds;

namespace {

/// Three regions, one of them with few servers. The load is 70% of the capacity
/// of warm servers, and more than twice that of cold ones.
FleetSimulation::Options ThreeRegions(std::uint64_t seed) {
  FleetSimulation::Options options;
  options.regions = {
      {"west", 4, 12, 85.0}, {"north", 3, 2, 85.0}, {"south", 3, 10, 85.0}};
  options.seed = seed;
  return options;
}

CallerTally Sum(const std::map<std::string, CallerTally>& tallies) {
  CallerTally sum;
  for (const auto& [region, tally] : tallies) {
    sum.in_time += tally.in_time;
    sum.late += tally.late;
    sum.refused += tally.refused;
    sum.ran_warm += tally.ran_warm;
    sum.ran_cold += tally.ran_cold;
  }
  return sum;
}

}  // namespace

Test(load, a_load_within_the_warm_capacity_is_answered_in_time) {
  for (const std::uint64_t seed : {1, 2, 3, 4, 5}) {
    FleetSimulation simulation(ThreeRegions(seed));
    static_cast<void>(simulation.Run(seconds(10)));
    const auto tallies = simulation.Run(seconds(20));
    const CallerTally all = Sum(tallies);
    cr_expect(all.in_time_fraction() > 0.9, "seed %d: %.2f in time",
              static_cast<int>(seed), all.in_time_fraction());
    cr_expect(all.warm_fraction() > 0.95, "seed %d: %.2f warm",
              static_cast<int>(seed), all.warm_fraction());
    for (const auto& [region, tally] : tallies)
      cr_expect(tally.in_time_fraction() > 0.8, "seed %d, %s: %.2f in time",
                static_cast<int>(seed), region.c_str(),
                tally.in_time_fraction());
  }
}
