#include "comfreyvane/steer/workspace_balance.h"

#include <algorithm>

namespace comfreyvane {

void WorkspaceBalance::SetWeight(WorkspaceId workspace, std::uint32_t weight) {
  accounts_[workspace].weight = weight;
}

void WorkspaceBalance::RecordDemand(WorkspaceId workspace,
                                    std::int64_t rate,
                                    TimePoint expires,
                                    TimePoint now) {
  accounts_[workspace].demand.Add(rate, expires, now);
}

void WorkspaceBalance::RecordUse(WorkspaceId workspace,
                                 std::int64_t rate,
                                 TimePoint expires,
                                 TimePoint now) {
  accounts_[workspace].used.Add(rate, expires, now);
}

bool WorkspaceBalance::Admits(WorkspaceId workspace,
                              std::int64_t rate,
                              std::int64_t usable,
                              std::int64_t reserved,
                              TimePoint now) const {
  std::int64_t weights = 0;
  for (const auto& [id, account] : accounts_) {
    if (id == workspace || account.demand.Total(now) > 0)
      weights += account.weight;
  }
  const auto fair_share = [&](std::int64_t weight) {
    return usable * weight / std::max<std::int64_t>(weights, 1);
  };
  const auto own = accounts_.find(workspace);
  const std::int64_t own_weight =
      own == accounts_.end() ? 1 : own->second.weight;
  if (Used(workspace, now) + rate <= fair_share(own_weight))
    return true;
  std::int64_t wanted_by_others = 0;
  for (const auto& [id, account] : accounts_) {
    if (id == workspace)
      continue;
    const std::int64_t due =
        std::min(account.demand.Total(now), fair_share(account.weight));
    wanted_by_others +=
        std::max<std::int64_t>(due - account.used.Total(now), 0);
  }
  return reserved + rate + wanted_by_others <= usable;
}

std::int64_t WorkspaceBalance::Used(WorkspaceId workspace,
                                    TimePoint now) const {
  const auto found = accounts_.find(workspace);
  return found == accounts_.end() ? 0 : found->second.used.Total(now);
}

}  // namespace comfreyvane
