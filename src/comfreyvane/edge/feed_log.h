/// @file
/// Log of recent changes of a table.
#ifndef COMFREYVANE_EDGE_FEED_LOG_H_
#define COMFREYVANE_EDGE_FEED_LOG_H_

#include <cstddef>
#include <map>
#include <optional>
#include <string>

#include "comfreyvane/base/revision.h"
#include "comfreyvane/storage/table_feed.h"
#include "comfreyvane/storage/table_row.h"

namespace comfreyvane {

/// Stores the last change of each row of one table, as received from the store,
/// so that other hosts can follow the table through this host. Earlier changes
/// of a row are dropped: its last one replaces them.
class FeedLog {
 public:
  /// @param max_bytes size limit of the stored rows. The newest change is kept
  ///     whatever its size.
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
  /// Place of a change: the position after its batch, and a running number.
  struct Place {
    Revision position;
    std::size_t number = 0;

    friend auto operator<=>(const Place&, const Place&) = default;
  };

  [[nodiscard]] static std::size_t BytesOf(const TableRow& row);
  void Erase(std::map<Place, TableRow>::iterator change);

  std::size_t max_bytes_;
  std::size_t bytes_ = 0;
  std::size_t last_number_ = 0;
  bool is_started_ = false;
  Revision oldest_;  ///< The log holds all changes after this position.
  Revision position_;
  std::map<Place, TableRow> changes_;
  std::map<std::string, Place> by_key_;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_EDGE_FEED_LOG_H_
