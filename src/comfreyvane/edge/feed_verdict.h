/// @file
/// What a host does with the answer to a call for the rows of a table.
#ifndef COMFREYVANE_EDGE_FEED_VERDICT_H_
#define COMFREYVANE_EDGE_FEED_VERDICT_H_

#include <cstdint>

namespace comfreyvane {

/// What a host does with the answer to a call for the rows of a table.
enum class FeedVerdict : std::uint8_t {
  kApplySnapshot,  ///< The rows are all rows of the table.
  kApplyChanges,   ///< The rows have changed since the call's position.
  kSuperseded,     ///< A later call has replaced this one.
  kStale,          ///< The answer is older than what has been applied.
  kOutdatedEra,    ///< The store has been restored since.
  kNewEra,         ///< The store has been restored: all tables are read again.
  kHistoryLost,    ///< The store lacks the changes after the call's position.
  kFailed,
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_EDGE_FEED_VERDICT_H_
