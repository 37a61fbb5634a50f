/// @file
/// Recent changes of the store's tables, for other hosts.
#ifndef COMFREYVANE_EDGE_FEED_RELAY_H_
#define COMFREYVANE_EDGE_FEED_RELAY_H_

#include <array>
#include <cstddef>

#include "comfreyvane/edge/feed_log.h"
#include "comfreyvane/edge/feed_schedule.h"
#include "comfreyvane/edge/relay_answer.h"
#include "comfreyvane/edge/relay_call.h"
#include "comfreyvane/edge/store_table.h"
#include "comfreyvane/storage/table_feed.h"

namespace comfreyvane {

/// Keeps the recent changes of the store's tables, and decides what another
/// host that follows the store through this one gets.
class FeedRelay {
 public:
  /// Records an applied answer of the store or of a relay.
  /// @param is_snapshot whether the rows are all rows of the table.
  void OnApplied(StoreTable table, const TableFeed& feed, bool is_snapshot);

  /// Discards all changes, since the store was restored from an older copy.
  void OnRestored();

  /// @return changes after the positions of a call, if this host may relay.
  [[nodiscard]] RelayAnswer AnswerTo(const RelayCall& call,
                                     const FeedSchedule& schedule,
                                     TimePoint now) const;

 private:
  /// Size of the log of a table: many times the changes during a held call.
  static constexpr std::size_t kLogBytes = std::size_t{1024} * 1024;

  std::array<FeedLog, kStoreTables> logs_{
      FeedLog(kLogBytes), FeedLog(kLogBytes), FeedLog(kLogBytes)};
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_EDGE_FEED_RELAY_H_
