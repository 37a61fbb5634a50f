/// @file
/// What a GrantManager renewal_requests of its owner.
#ifndef COMFREYVANE_LIMIT_GRANT_MANAGER_ACTIONS_H_
#define COMFREYVANE_LIMIT_GRANT_MANAGER_ACTIONS_H_

#include <optional>
#include <vector>

#include "comfreyvane/limit/commit_shares.h"
#include "comfreyvane/limit/grant_message.h"
#include "comfreyvane/limit/send_grant_message.h"
#include "comfreyvane/limit/share_table.h"

namespace comfreyvane {

/// What a GrantManager renewal_requests of its owner. After each event the
/// owner also gives GrantManager::own_share() to every LimitShard of the host.
struct GrantManagerActions {
  std::vector<SendGrantMessage> messages;
  /// Commit it, then call OnSharesOutcome. Repeated under the same
  /// transaction id until the outcome is known.
  std::optional<CommitShares> commit;
  bool read_table = false;  ///< Read the row, then call OnSharesReading.

  friend bool operator==(const GrantManagerActions&,
                         const GrantManagerActions&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_LIMIT_GRANT_MANAGER_ACTIONS_H_
