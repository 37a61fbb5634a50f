#include "comfreyvane/route/probe_planner.h"

#include <map>

#include "support/criterion.h"

using namespace comfreyvane;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr TimePoint kStart = TimePoint(std::chrono::hours(1));
const BackendServerId kServer = BackendServerId::Of("server");

}  // namespace

Test(probe_planner, bounds_the_utilization_over_all_hosts) {
  for (const std::uint32_t hosts : {1U, 8U, 145U}) {
    const ProbeBudget budget;
    int probes = 0;
    for (std::uint32_t host = 0; host < hosts; ++host) {
      ProbePlanner planner(budget, host);
      planner.OnTargets({{kServer, hosts}}, kStart);
      for (int tick = 0; tick < 6000; ++tick) {
        const TimePoint now = kStart + milliseconds(100) * tick;
        probes += static_cast<int>(planner.TakeDue(now).size());
      }
    }
    const double busy = probes * 0.006 / 600.0;
    const double first_round = hosts * 0.006 / 600.0;
    cr_expect(busy <= budget.max_utilization + first_round, "%f", busy);
    cr_expect(probes > 0);
  }
}

Test(probe_planner, an_answered_request_replaces_a_probe) {
  ProbePlanner planner({}, 1);
  planner.OnTargets({{kServer, 8}}, kStart);
  for (int i = 0; i < 100; ++i) {
    const TimePoint now = kStart + milliseconds(100) * i;
    planner.OnAnswered(kServer, now);
    cr_expect(planner.TakeDue(now).empty());
  }
  cr_expect(planner.NextDue().has_value());
  cr_expect(planner.TakeDue(*planner.NextDue()).size() == 1);
}

Test(probe_planner, a_repeated_target_list_does_not_advance_probes) {
  ProbePlanner planner({}, 1);
  planner.OnTargets({{kServer, 8}}, kStart);
  const auto due = planner.NextDue();
  for (int i = 0; i < 10; ++i)
    planner.OnTargets({{kServer, 8}}, kStart);
  cr_expect(planner.NextDue() == due);
  planner.OnTargets({}, kStart);
  cr_expect(!planner.NextDue().has_value());
}
