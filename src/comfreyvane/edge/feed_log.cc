#include "comfreyvane/edge/feed_log.h"

#include <algorithm>
#include <utility>

namespace comfreyvane {

void FeedLog::Restart(Revision position) {
  is_started_ = true;
  oldest_ = position;
  position_ = position;
  changes_.clear();
  by_key_.clear();
  bytes_ = 0;
}

void FeedLog::Clear() {
  Restart(Revision());
  is_started_ = false;
}

void FeedLog::Add(const TableFeed& feed) {
  position_ = std::max(position_, feed.position);
  for (const TableRow& row : feed.rows) {
    if (const auto earlier = by_key_.find(row.key); earlier != by_key_.end())
      Erase(changes_.find(earlier->second));
    const Place place{feed.position, ++last_number_};
    by_key_.emplace(row.key, place);
    changes_.emplace(place, row);
    bytes_ += BytesOf(row);
  }
  while (bytes_ > max_bytes_ && changes_.begin()->first.position < position_) {
    oldest_ = changes_.begin()->first.position;
    Erase(changes_.begin());
  }
}

std::optional<TableFeed> FeedLog::Since(Revision position) const {
  if (!is_started_ || position < oldest_)
    return std::nullopt;
  TableFeed feed;
  feed.status = TableStatus::kDone;
  feed.position = position_;
  for (const auto& [place, row] : changes_) {
    if (position < place.position)
      feed.rows.push_back(row);
  }
  return feed;
}

std::size_t FeedLog::BytesOf(const TableRow& row) {
  return sizeof(TableRow) + row.key.size() + row.value.size();
}

void FeedLog::Erase(std::map<Place, TableRow>::iterator change) {
  bytes_ -= BytesOf(change->second);
  by_key_.erase(change->second.key);
  changes_.erase(change);
}

}  // namespace comfreyvane
