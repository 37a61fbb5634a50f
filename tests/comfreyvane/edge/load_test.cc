/// @file
/// What callers get under load, from the decisions of all hosts together.
#include "support/criterion.h"
#include "support/edge_day.h"

using namespace comfreyvane::testing;
using std::chrono::seconds;

namespace {

/// Three regions, one of them with few servers. The load is 70% of what the
/// servers can do warm, and more than twice what they can do cold.
EdgeDay::Terms ThreeRegions(std::uint64_t seed) {
  EdgeDay::Terms terms;
  terms.regions = {
      {"west", 4, 12, 85.0}, {"north", 3, 2, 85.0}, {"south", 3, 10, 85.0}};
  terms.seed = seed;
  return terms;
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

Test(load, what_fits_warm_is_answered_in_time) {
  for (const std::uint64_t seed : {1, 2, 3, 4, 5}) {
    EdgeDay day(ThreeRegions(seed));
    static_cast<void>(day.Play(seconds(10)));
    const auto tallies = day.Play(seconds(20));
    const CallerTally all = Sum(tallies);
    cr_expect(all.in_time_part() > 0.9, "seed %d: %.2f in time",
              static_cast<int>(seed), all.in_time_part());
    cr_expect(all.warm_part() > 0.95, "seed %d: %.2f warm",
              static_cast<int>(seed), all.warm_part());
    for (const auto& [region, tally] : tallies)
      cr_expect(tally.in_time_part() > 0.8, "seed %d, %s: %.2f in time",
                static_cast<int>(seed), region.c_str(), tally.in_time_part());
  }
}
