/// @file
/// Changes of the store's tables, relayed by another host.
#ifndef COMFREYVANE_GATEWAY_RELAY_ANSWER_H_
#define COMFREYVANE_GATEWAY_RELAY_ANSWER_H_

#include <array>

#include "comfreyvane/gateway/store_table.h"
#include "comfreyvane/storage/table_feed.h"

namespace comfreyvane {

/// Result of a call for changes.
enum class RelayStatus {
  kDone,
  kNotFresh,     ///< The host may have missed recent changes.
  kHistoryLost,  ///< Its log lacks some changes after the positions.
  kNoAnswer,
};

/// Changes of the store's tables, relayed by another host.
struct RelayAnswer {
  RelayStatus status = RelayStatus::kNoAnswer;
  std::array<TableFeed, kStoreTables> feeds{};  ///< By table, if kDone.

  friend bool operator==(const RelayAnswer&, const RelayAnswer&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_GATEWAY_RELAY_ANSWER_H_
