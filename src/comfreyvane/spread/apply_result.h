/// @file
/// Answer to an operator's change.
#ifndef COMFREYVANE_SPREAD_APPLY_RESULT_H_
#define COMFREYVANE_SPREAD_APPLY_RESULT_H_

#include <string>
#include <string_view>

#include "comfreyvane/base/revision.h"

namespace comfreyvane {

/// How an operator's change ended.
enum class ApplyStatus {
  kAccepted,     ///< Committed as `revision`, now or at an earlier try.
  kConflict,     ///< Based on `base`, while `revision` is the newest.
  kUnknown,      ///< May be committed; repeat it with the same identifier.
  kUnavailable,  ///< Nothing was accepted; no acceptor reaches the store.
  kBusy,         ///< Nothing was accepted; another change is under way.
};

/// @return the name in answers and logs, such as "accepted".
[[nodiscard]] std::string_view Name(ApplyStatus status);

/// Answer to an operator's change.
struct ApplyResult {
  std::string request_id;
  ApplyStatus status = ApplyStatus::kUnavailable;
  Revision base;
  Revision revision;

  friend bool operator==(const ApplyResult&, const ApplyResult&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_SPREAD_APPLY_RESULT_H_
