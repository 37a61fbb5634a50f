/// @file
/// Answer to an accepted change.
#ifndef COMFREYVANE_OPERATE_CHANGE_RESPONSE_H_
#define COMFREYVANE_OPERATE_CHANGE_RESPONSE_H_

#include <string>

#include "comfreyvane/base/revision.h"

namespace comfreyvane {

/// Body of the answer to a change that was accepted: apply, withdraw, drain.
struct ChangeResponse {
  Revision revision;      ///< The accepted revision.
  std::string digest;     ///< Of its configuration, by Digest().
  bool repeated = false;  ///< Accepted by an earlier try of this request.

  friend bool operator==(const ChangeResponse&,
                         const ChangeResponse&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_OPERATE_CHANGE_RESPONSE_H_
