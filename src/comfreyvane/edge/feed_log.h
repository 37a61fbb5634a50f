/// @file
/// Log of recent changes of a table.
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

/// Stores the recent changes of one table as received from the store, so that
/// other hosts can follow the table through this host.
class FeedLog {
 public:
  /// @param max_bytes size limit of the stored rows.
  explicit FeedLog(std::size_t max_bytes) : max_bytes_(max_bytes) {}

  /// Clears the log and continues from the position of a full read of the
  /// table.
  void Restart(Revision position);

  /// Clears the log. Since returns nothing until Restart is called.
  void Clear();

  /// Appends changes.
  /// @param feed continues from the log's position.
  void Add(const TableFeed& feed);

  /// @return the changes after a position and the log's own position; nothing
  ///     if some of the changes are no longer stored.
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
  bool is_started_ = false;
  Revision oldest_;  ///< The log holds all changes after this position.
  Revision position_;
  std::deque<Batch> batches_;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_EDGE_FEED_LOG_H_
