/// @file
/// CheckReply when to probe which backend server.
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

/// CheckReply when to probe which backend server, so that all hosts' probes
/// together cost a server at most ProbeBudget::max_utilization. An answered
/// request is as good as a probe and puts the next one off.
class ProbePlanner {
 public:
  ProbePlanner(ProbeBudget budget, std::uint64_t seed);

  /// Replaces the servers to probe.
  void OnTargets(const std::vector<ProbeTarget>& targets, TimePoint now);
  /// Notes an answered request.
  void OnAnswered(BackendServerId server, TimePoint now);
  /// @return servers to probe now; each counts as probed.
  [[nodiscard]] std::vector<BackendServerId> TakeDue(TimePoint now);

  /// @return when the next probe is due, if there are targets.
  [[nodiscard]] std::optional<TimePoint> NextDue() const;
  /// @return shortest time between two probes of the server by this host.
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
