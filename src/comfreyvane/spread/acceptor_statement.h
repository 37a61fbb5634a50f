/// @file
/// What an acceptor says of accepted revisions.
#ifndef COMFREYVANE_SPREAD_ACCEPTOR_STATEMENT_H_
#define COMFREYVANE_SPREAD_ACCEPTOR_STATEMENT_H_

#include <vector>

#include "comfreyvane/base/basic_id.h"
#include "comfreyvane/base/revision.h"
#include "comfreyvane/base/time.h"
#include "comfreyvane/spread/acceptor_set.h"

namespace comfreyvane {

/// What an acceptor says: through it nothing is committed beyond `revision`,
/// nor may be, but for a change that withdraws `pending_keys` only as far as
/// keys go.
struct AcceptorStatement {
  Acceptor acceptor;
  AcceptorSet set;  ///< The set it belongs to.
  Revision revision;
  std::vector<KeyId> pending_keys;
  Duration age{0};  ///< Since the question was sent, when passed on.

  friend bool operator==(const AcceptorStatement&,
                         const AcceptorStatement&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_SPREAD_ACCEPTOR_STATEMENT_H_
