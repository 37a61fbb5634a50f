/// @file
/// Actions requested by a GrantManager.
#ifndef COMFREYVANE_LIMIT_GRANT_MANAGER_ACTIONS_H_
#define COMFREYVANE_LIMIT_GRANT_MANAGER_ACTIONS_H_

#include <optional>
#include <vector>

#include "comfreyvane/limit/commit_shares.h"
#include "comfreyvane/limit/grant_message.h"
#include "comfreyvane/limit/send_grant_message.h"
#include "comfreyvane/limit/share_table.h"

namespace comfreyvane {

/// Actions that the owner of a GrantManager must carry out. After each event
/// the owner must also pass GrantManager::own_share() to every LimitShard of
/// the host.
struct GrantManagerActions {
  std::vector<SendGrantMessage> messages;
  /// To be committed; the outcome goes to OnSharesOutcome. Repeated with the
  /// same transaction id until the outcome is known.
  std::optional<CommitShares> commit;
  bool read_table = false;  ///< Read the row and call OnSharesReading.

  friend bool operator==(const GrantManagerActions&,
                         const GrantManagerActions&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_LIMIT_GRANT_MANAGER_ACTIONS_H_
