/// @file
/// Latest changes of a table.
#ifndef COMFREYVANE_EDGE_FEED_LOG_H_
#define COMFREYVANE_EDGE_FEED_LOG_H_

#include <cstddef>
#include <deque>
#include <optional>
#include <vector>

#include "comfreyvane/base/revision.h"
#include "comfreyvane/storage/table_feed.h"
#include "comfreyvane/storage/table_row.h"

namespace comfreyvane {

/// Keeps the latest changes of one table as they came from the store, so that
/// other hosts can follow the table here.
class FeedLog {
 public:
  /// @param max_bytes of rows that are kept.
  explicit FeedLog(std::size_t max_bytes) : max_bytes_(max_bytes) {}

  /// Begins anew after a read of the whole table.
  void Restart(Revision position);

  /// Forgets all; nothing is known until Restart.
  void Clear();

  /// Appends changes.
  /// @param feed that follows the log's position.
  void Add(const TableFeed& feed);

  /// @return changes after a position, and the log's position; nothing if some
  ///     of them are no longer known.
  [[nodiscard]] std::optional<TableFeed> Since(Revision position) const;

  [[nodiscard]] Revision position() const { return position_; }

 private:
  struct Batch {
    Revision position;  ///< After the batch.
    std::vector<TableRow> rows;
    std::size_t bytes = 0;
  };

  std::size_t max_bytes_;
  std::size_t bytes_ = 0;
  bool is_complete_ = false;
  Revision oldest_;  ///< Changes after it are known.
  Revision position_;
  std::deque<Batch> batches_;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_EDGE_FEED_LOG_H_
