/// @file
/// Changes of the store's tables, relayed by another host.
#ifndef COMFREYVANE_EDGE_RELAY_ANSWER_H_
#define COMFREYVANE_EDGE_RELAY_ANSWER_H_

#include <array>
#include <cstdint>
#include <optional>

#include "comfreyvane/base/time.h"
#include "comfreyvane/edge/store_table.h"
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
  std::uint64_t era = 0;  ///< Of the store at that host; 0 if not stated.
  std::array<TableFeed, kStoreTables> feeds{};  ///< By table, if kDone.
  /// How long before the call arrived the operator's table was confirmed at
  /// that host; negative if it was while the call was held. Earlier builds do
  /// not state it.
  std::optional<Duration> confirmed_before{};

  friend bool operator==(const RelayAnswer&, const RelayAnswer&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_EDGE_RELAY_ANSWER_H_
