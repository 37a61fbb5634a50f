/// @file
/// Weighted fair division of a region among workspaces.
#ifndef COMFREYVANE_STEER_WORKSPACE_BALANCE_H_
#define COMFREYVANE_STEER_WORKSPACE_BALANCE_H_

#include <cstdint>
#include <unordered_map>

#include "comfreyvane/base/basic_id.h"
#include "comfreyvane/base/time.h"
#include "comfreyvane/steer/expiring_sum.h"

namespace comfreyvane {

/// Divides the capacity of a region that this host holds among workspaces by
/// weight. A workspace may exceed its fair share only if enough remains for the
/// recorded demand of the others, up to their fair shares.
class WorkspaceBalance {
 public:
  /// Sets the weight of a workspace. The default is one.
  void SetWeight(WorkspaceId workspace, std::uint32_t weight);

  /// Records demand of a workspace, whether or not it is met.
  void RecordDemand(WorkspaceId workspace,
                    std::int64_t rate,
                    TimePoint expires,
                    TimePoint now);

  /// Records capacity granted to a workspace.
  void RecordUse(WorkspaceId workspace,
                 std::int64_t rate,
                 TimePoint expires,
                 TimePoint now);

  /// @param usable rate that may be used of the region, over all workspaces.
  /// @param reserved rate in use, over all workspaces.
  /// @return whether the workspace may use the additional rate now.
  [[nodiscard]] bool Admits(WorkspaceId workspace,
                            std::int64_t rate,
                            std::int64_t usable,
                            std::int64_t reserved,
                            TimePoint now) const;

  /// @return the rate that the workspace has in use.
  [[nodiscard]] std::int64_t Used(WorkspaceId workspace, TimePoint now) const;

 private:
  struct Account {
    std::uint32_t weight = 1;
    ExpiringSum demand;
    ExpiringSum used;
  };

  std::unordered_map<WorkspaceId, Account> accounts_;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_STEER_WORKSPACE_BALANCE_H_
