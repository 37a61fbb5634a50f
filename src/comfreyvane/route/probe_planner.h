/// @file
/// Schedules the health probes of backend servers.
#ifndef COMFREYVANE_ROUTE_PROBE_PLANNER_H_
#define COMFREYVANE_ROUTE_PROBE_PLANNER_H_

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "comfreyvane/base/basic_id.h"
#include "comfreyvane/base/random_source.h"
#include "comfreyvane/base/time.h"
#include "comfreyvane/route/probe_budget.h"
#include "comfreyvane/route/probe_target.h"

namespace comfreyvane {

/// Schedules health probes so that the probes of all hosts together take at
/// most the fraction ProbeBudget::max_utilization of a server's time. An
/// answered request replaces a probe and postpones the next one.
class ProbePlanner {
 public:
  ProbePlanner(ProbeBudget budget, std::uint64_t seed);

  /// Replaces the set of servers to probe. Known servers keep their due time.
  void OnTargets(const std::vector<ProbeTarget>& targets, TimePoint now);
  /// Postpones the next probe of a server that answered a request.
  void OnAnswered(BackendServerId server, TimePoint now);
  /// @return the servers whose probe is due, and schedules their next one.
  [[nodiscard]] std::vector<BackendServerId> TakeDue(TimePoint now);

  /// @return when the next probe is due; empty without targets.
  [[nodiscard]] std::optional<TimePoint> NextDue() const;
  /// @return minimum time between two probes of the server by this host; zero
  ///     if it is not a target.
  [[nodiscard]] Duration Interval(BackendServerId server) const;

 private:
  struct Plan {
    Duration interval{0};
    TimePoint due{};
  };

  ProbeBudget budget_;
  RandomSource random_;
  std::unordered_map<BackendServerId, Plan> plans_;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_ROUTE_PROBE_PLANNER_H_
