/// @file
/// Changes of the store's tables as a host passes them on.
#ifndef COMFREYVANE_GATEWAY_RELAY_ANSWER_H_
#define COMFREYVANE_GATEWAY_RELAY_ANSWER_H_

#include <array>

#include "comfreyvane/gateway/store_table.h"
#include "comfreyvane/storage/table_feed.h"

namespace comfreyvane {

/// How a call for changes ended.
enum class RelayStatus {
  kDone,
  kNotFresh,     ///< The host has not heard from the store of late.
  kHistoryLost,  ///< It no longer knows all changes after the positions.
  kNoAnswer,
};

/// Changes of the store's tables as a host passes them on.
struct RelayAnswer {
  RelayStatus status = RelayStatus::kNoAnswer;
  std::array<TableFeed, kStoreTables> feeds{};  ///< By table, if done.

  friend bool operator==(const RelayAnswer&, const RelayAnswer&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_GATEWAY_RELAY_ANSWER_H_
