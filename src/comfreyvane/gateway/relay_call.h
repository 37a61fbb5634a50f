/// @file
/// A host's question for changes of the store's tables.
#ifndef COMFREYVANE_GATEWAY_RELAY_CALL_H_
#define COMFREYVANE_GATEWAY_RELAY_CALL_H_

#include <array>
#include <cstdint>

#include "comfreyvane/base/revision.h"
#include "comfreyvane/base/time.h"
#include "comfreyvane/gateway/store_table.h"

namespace comfreyvane {

/// A host's question to another for changes of the store's tables.
struct RelayCall {
  /// Differs from one call to the next, so that no earlier answer serves.
  std::uint64_t nonce = 0;
  std::uint64_t era = 0;  ///< Of the store, to which the positions belong.
  Duration wait{};        ///< How long the answer may wait for a change.
  std::array<Revision, kStoreTables> positions;  ///< By table.

  friend bool operator==(const RelayCall&, const RelayCall&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_GATEWAY_RELAY_CALL_H_
