#include "comfreyvane/edge/feed_relay.h"

#include <utility>

namespace comfreyvane {

void FeedRelay::OnApplied(StoreTable table,
                          const TableFeed& feed,
                          bool is_snapshot) {
  FeedLog& log = logs_[IndexOf(table)];
  if (is_snapshot)
    log.Restart(feed.position);
  else
    log.Add(feed);
}

void FeedRelay::OnRestored() {
  for (FeedLog& log : logs_)
    log.Clear();
}

RelayAnswer FeedRelay::AnswerTo(const RelayCall& call,
                                const FeedSchedule& schedule,
                                TimePoint now) const {
  RelayAnswer answer{RelayStatus::kNotFresh, schedule.era(), {}};
  if (now >= schedule.RelaysUntil(now) || call.era > answer.era)
    return answer;
  answer.status = RelayStatus::kHistoryLost;
  if (call.era < answer.era)
    return answer;
  for (std::size_t i = 0; i < kStoreTables; ++i) {
    auto feed = logs_[i].Since(call.positions[i]);
    if (!feed)
      return answer;
    answer.feeds[i] = std::move(*feed);
  }
  answer.status = RelayStatus::kDone;
  return answer;
}

}  // namespace comfreyvane
