#include "comfreyvane/edge/feed_log.h"

#include <algorithm>
#include <utility>

namespace comfreyvane {

void FeedLog::Restart(Revision position) {
  is_started_ = true;
  oldest_ = position;
  position_ = position;
  batches_.clear();
  bytes_ = 0;
}

void FeedLog::Clear() {
  Restart(Revision());
  is_started_ = false;
}

void FeedLog::Add(const TableFeed& feed) {
  position_ = std::max(position_, feed.position);
  if (feed.rows.empty())
    return;
  Batch batch{feed.position, feed.rows};
  for (const TableRow& row : batch.rows)
    batch.bytes += sizeof(TableRow) + row.key.size() + row.value.size();
  bytes_ += batch.bytes;
  batches_.push_back(std::move(batch));
  while (bytes_ > max_bytes_) {
    oldest_ = batches_.front().position;
    bytes_ -= batches_.front().bytes;
    batches_.pop_front();
  }
}

std::optional<TableFeed> FeedLog::Since(Revision position) const {
  if (!is_started_ || position < oldest_)
    return std::nullopt;
  TableFeed feed;
  feed.status = TableStatus::kDone;
  feed.position = position_;
  for (const Batch& batch : batches_) {
    if (position < batch.position)
      feed.rows.insert(feed.rows.end(), batch.rows.begin(), batch.rows.end());
  }
  return feed;
}

}  // namespace comfreyvane
