#include "comfreyvane/route/probe_planner.h"

#include <algorithm>
#include <cassert>

namespace comfreyvane {
namespace {

constexpr double kIntervalJitter = 0.1;

}  // namespace

ProbePlanner::ProbePlanner(ProbeBudget budget, std::uint64_t seed)
    : budget_(budget), random_(seed) {
  assert(budget.max_utilization > 0.0);
}

void ProbePlanner::OnTargets(const std::vector<ProbeTarget>& targets,
                             TimePoint now) {
  std::unordered_map<BackendServerId, Plan> plans;
  for (const ProbeTarget& target : targets) {
    const Duration fair = Scaled(
        budget_.cost, std::max(target.hosts, 1U) / budget_.max_utilization);
    const Duration interval = std::max(fair, budget_.min_interval);
    const auto known = plans_.find(target.server);
    const TimePoint due = known != plans_.end()
                              ? known->second.due
                              : now + Scaled(interval, random_.Uniform());
    plans[target.server] = {interval, due};
  }
  plans_ = std::move(plans);
}

void ProbePlanner::OnAnswered(BackendServerId server, TimePoint now) {
  const auto found = plans_.find(server);
  if (found != plans_.end())
    found->second.due =
        std::max(found->second.due, now + found->second.interval);
}

std::vector<BackendServerId> ProbePlanner::TakeDue(TimePoint now) {
  std::vector<BackendServerId> due;
  for (auto& [server, plan] : plans_) {
    if (now < plan.due)
      continue;
    due.push_back(server);
    plan.due =
        now + Scaled(plan.interval, 1.0 + kIntervalJitter * random_.Uniform());
  }
  return due;
}

std::optional<TimePoint> ProbePlanner::NextDue() const {
  std::optional<TimePoint> next;
  for (const auto& [server, plan] : plans_)
    next = next ? std::min(*next, plan.due) : plan.due;
  return next;
}

Duration ProbePlanner::Interval(BackendServerId server) const {
  const auto found = plans_.find(server);
  return found == plans_.end() ? Duration{0} : found->second.interval;
}

}  // namespace comfreyvane
