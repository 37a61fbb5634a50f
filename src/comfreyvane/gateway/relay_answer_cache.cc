#include "comfreyvane/gateway/relay_answer_cache.h"

#include <utility>

#include "comfreyvane/gateway/relay_codec.h"
#include "comfreyvane/net/deflate.h"

namespace comfreyvane {

bool RelayAnswerCache::IsLarge(const RelayAnswer& answer) {
  std::size_t bytes = 0;
  for (const TableFeed& feed : answer.feeds) {
    for (const TableRow& row : feed.rows)
      bytes += row.key.size() + row.value.size();
  }
  return bytes >= kMinBytes;
}

const std::string& RelayAnswerCache::Encode(const RelayCall& call,
                                            const RelayAnswer& answer) {
  Entry entry{.era = answer.era, .after = call.positions};
  for (std::size_t i = 0; i < kStoreTables; ++i)
    entry.end[i] = answer.feeds[i].position;
  for (const Entry& cached : entries_) {
    if (cached.era == entry.era && cached.after == entry.after &&
        cached.end == entry.end)
      return cached.text;
  }
  RelayAnswer feeds = answer;
  feeds.confirmed_before.reset();
  entry.text = Deflate(EncodeRelayAnswer(feeds));
  entries_.push_front(std::move(entry));
  if (entries_.size() > kEntries)
    entries_.pop_back();
  return entries_.front().text;
}

}  // namespace comfreyvane
