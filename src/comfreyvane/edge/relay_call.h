/// @file
/// A host's call to another for changes of the store's tables.
#ifndef COMFREYVANE_EDGE_RELAY_CALL_H_
#define COMFREYVANE_EDGE_RELAY_CALL_H_

#include <array>
#include <cstdint>

#include "comfreyvane/base/revision.h"
#include "comfreyvane/base/time.h"
#include "comfreyvane/edge/store_table.h"

namespace comfreyvane {

/// A host's call to another for changes of the store's tables.
struct RelayCall {
  /// Unique per call, so that earlier answers cannot be replayed.
  std::uint64_t nonce = 0;
  std::uint64_t era = 0;  ///< Era of the store that the positions belong to.
  Duration wait{};        ///< How long the host may wait for a change.
  std::array<Revision, kStoreTables> positions;  ///< By table.

  friend bool operator==(const RelayCall&, const RelayCall&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_EDGE_RELAY_CALL_H_
