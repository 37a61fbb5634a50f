/// @file
/// Division of a region among workspaces.
#ifndef COMFREYVANE_STEER_WORKSPACE_BALANCE_H_
#define COMFREYVANE_STEER_WORKSPACE_BALANCE_H_

#include <cstdint>
#include <unordered_map>

#include "comfreyvane/base/basic_id.h"
#include "comfreyvane/base/time.h"
#include "comfreyvane/steer/expiring_sum.h"

namespace comfreyvane {

/// Divides the part of a region that this host holds among workspaces by
/// weight. A workspace may use more than its fair part only where that leaves
/// the others what they want up to theirs, so the worst served goes first.
class WorkspaceBalance {
 public:
  /// Sets the weights; workspaces not set have weight one.
  void SetWeight(WorkspaceId workspace, std::uint32_t weight);

  /// Notes that a workspace asks, whether or not it gets.
  void RecordDemand(WorkspaceId workspace,
                    std::int64_t rate,
                    TimePoint expires,
                    TimePoint now);

  /// Notes that a workspace got.
  void RecordUse(WorkspaceId workspace,
                 std::int64_t rate,
                 TimePoint expires,
                 TimePoint now);

  /// @param usable what may be used of the region in all.
  /// @param reserved what is in use.
  /// @return whether the workspace may take the rate now.
  [[nodiscard]] bool Admits(WorkspaceId workspace,
                            std::int64_t rate,
                            std::int64_t usable,
                            std::int64_t reserved,
                            TimePoint now) const;

  /// @return what the workspace has in use.
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
