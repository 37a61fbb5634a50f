#include "comfreyvane/edge/feed_schedule.h"

#include "comfreyvane/edge/feed_relay.h"
#include "support/criterion.h"

using namespace comfreyvane;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr StoreTable kTable = StoreTable::kOperator;
constexpr TimePoint kStart{seconds(100)};

TableFeed FeedAt(std::uint64_t position, std::uint64_t era = 1) {
  TableFeed feed;
  feed.status = TableStatus::kDone;
  feed.position = Revision(position);
  feed.era = era;
  return feed;
}

TableFeed Failure(TableStatus status) {
  TableFeed feed;
  feed.status = status;
  return feed;
}

/// Reads all tables, so that each waits for changes.
/// @return the held calls by table.
std::array<FeedCall, kStoreTables> ReadAll(FeedSchedule& schedule,
                                           TimePoint now) {
  std::array<FeedCall, kStoreTables> held;
  for (const StoreTable table : kAllStoreTables) {
    const FeedCall call = schedule.Begin(table, now);
    cr_assert(call.is_snapshot);
    cr_assert(schedule.OnAnswer(table, call, FeedAt(10), now) ==
              FeedVerdict::kApplySnapshot);
    held[IndexOf(table)] = schedule.Begin(table, now);
  }
  return held;
}

}  // namespace

Test(feed_schedule, holds_a_call_after_an_answer) {
  FeedSchedule schedule(1);
  const FeedCall held = ReadAll(schedule, kStart)[IndexOf(kTable)];
  cr_expect(!held.is_snapshot);
  cr_expect(held.wait == seconds(1));
  cr_expect(held.position == Revision(10));
  cr_expect(schedule.NextCallAt(kTable, kStart) > kStart + held.wait);
}

Test(feed_schedule, joins_a_silent_call_by_one_that_is_held_briefly) {
  FeedSchedule schedule(1);
  const FeedCall held = ReadAll(schedule, kStart)[IndexOf(kTable)];
  const TimePoint overdue = schedule.NextCallAt(kTable, kStart);
  cr_expect(overdue == kStart + held.wait + FeedSchedule::kPatience);
  const FeedCall next = schedule.Begin(kTable, overdue);
  cr_expect(next.wait == FeedSchedule::kCheckWait);
  cr_expect(*schedule.SilentSince(kTable) == kStart);
  // The answer to the later call counts, and the earlier one no longer does.
  cr_expect(schedule.OnAnswer(kTable, next, FeedAt(20), overdue) ==
            FeedVerdict::kApplyChanges);
  cr_expect(schedule.OnAnswer(kTable, held, FeedAt(30), overdue) ==
            FeedVerdict::kSuperseded);
  cr_expect(schedule.position(kTable) == Revision(20));
}

Test(feed_schedule, uses_the_late_answer_of_a_slow_store) {
  FeedSchedule schedule(1);
  const FeedCall held = ReadAll(schedule, kStart)[IndexOf(kTable)];
  const TimePoint overdue = schedule.NextCallAt(kTable, kStart);
  static_cast<void>(schedule.Begin(kTable, overdue));
  cr_expect(schedule.OnAnswer(kTable, held, FeedAt(20), overdue) ==
            FeedVerdict::kApplyChanges);
}

Test(feed_schedule, checks_the_held_calls_of_other_tables_after_a_silence) {
  FeedSchedule schedule(1);
  ReadAll(schedule, kStart);
  const TimePoint overdue = schedule.NextCallAt(kTable, kStart);
  cr_expect(schedule.NextCallAt(StoreTable::kHosts, overdue) > overdue);
  static_cast<void>(schedule.Begin(kTable, overdue));
  for (const StoreTable table : {StoreTable::kBackends, StoreTable::kHosts}) {
    cr_expect(schedule.NextCallAt(table, overdue) <= overdue);
    cr_expect(schedule.Begin(table, overdue).wait == FeedSchedule::kCheckWait);
  }
}

Test(feed_schedule, calls_a_silent_store_at_most_thrice_a_second) {
  FeedSchedule schedule(1);
  ReadAll(schedule, kStart);
  int calls = 0;
  TimePoint now = kStart;
  for (; now < kStart + seconds(10); now += milliseconds(5)) {
    if (schedule.NextCallAt(kTable, now) <= now) {
      static_cast<void>(schedule.Begin(kTable, now));
      ++calls;
    }
  }
  cr_expect(calls <= 30, "%d calls", calls);
  cr_expect(calls >= 8, "%d calls", calls);
}

Test(feed_schedule, the_failure_of_a_silent_call_delays_the_next_one) {
  constexpr Duration kTimeout = seconds(1);
  // The longest pause.
  constexpr Duration kMaxGap =
      FeedSchedule::kCheckWait + FeedSchedule::kPatience + milliseconds(600);
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    FeedSchedule schedule(seed);
    std::vector<FeedCall> open = {ReadAll(schedule, kStart)[IndexOf(kTable)]};
    for (TimePoint now = kStart; now < kStart + seconds(10);
         now += milliseconds(5)) {
      const Duration gap = now - open.back().begun;
      cr_expect(open.size() == 1 || gap <= kMaxGap + milliseconds(5));
      for (const FeedCall& call : open) {
        if (call.begun + call.wait + kTimeout == now)
          static_cast<void>(schedule.OnAnswer(
              kTable, call, Failure(TableStatus::kUnknown), now));
      }
      if (schedule.NextCallAt(kTable, now) <= now)
        open.push_back(schedule.Begin(kTable, now));
    }
  }
}

Test(feed_schedule, rereads_all_tables_after_a_restore) {
  FeedSchedule schedule(1);
  const auto held = ReadAll(schedule, kStart);
  cr_expect(schedule.OnAnswer(StoreTable::kHosts,
                              held[IndexOf(StoreTable::kHosts)], FeedAt(3, 2),
                              kStart) == FeedVerdict::kNewEra);
  for (const StoreTable table : kAllStoreTables) {
    cr_assert(schedule.NextCallAt(table, kStart) <= kStart);
    const FeedCall call = schedule.Begin(table, kStart);
    cr_expect(call.is_snapshot);
    cr_expect(schedule.KeepsMissingRows(table));
    // The position is before that of the earlier era.
    cr_expect(schedule.OnAnswer(table, call, FeedAt(4, 2), kStart) ==
              FeedVerdict::kApplySnapshot);
    cr_expect(schedule.OnAnswer(table, held[IndexOf(table)], FeedAt(11, 1),
                                kStart) == FeedVerdict::kSuperseded);
    const TimePoint reread = kStart + FeedSchedule::kRewriteTime;
    cr_expect(schedule.NextCallAt(table, reread) <= reread);
    cr_expect(schedule.Begin(table, reread).is_snapshot);
    cr_expect(!schedule.KeepsMissingRows(table));
  }
}

Test(feed_schedule, ignores_stale_reads_and_answers_of_earlier_eras) {
  FeedSchedule schedule(1);
  const FeedCall held = ReadAll(schedule, kStart)[IndexOf(kTable)];
  cr_expect(schedule.OnAnswer(kTable, held, FeedAt(9), kStart) ==
            FeedVerdict::kStale);
  const TimePoint due = schedule.NextCallAt(kTable, kStart);
  cr_expect(due > kStart);
  static_cast<void>(schedule.OnEra(2, kStart));
  const FeedCall call = schedule.Begin(kTable, kStart);
  cr_expect(schedule.OnAnswer(kTable, call, FeedAt(50, 1), kStart) ==
            FeedVerdict::kOutdatedEra);
  cr_expect(schedule.position(kTable) == Revision());
}

Test(feed_schedule, relays_only_while_each_urgent_table_is_answered) {
  FeedSchedule schedule(1);
  ReadAll(schedule, kStart);
  FeedRelay relay;
  TimePoint now = kStart;
  // The operator's table is answered, that of the backend servers is not.
  for (; now < kStart + seconds(4); now += milliseconds(100)) {
    if (schedule.NextCallAt(kTable, now) <= now) {
      const FeedCall call = schedule.Begin(kTable, now);
      static_cast<void>(schedule.OnAnswer(kTable, call, FeedAt(10), now));
    }
  }
  cr_expect(schedule.RelaysUntil(now) < now);
  const RelayCall call{0, 1, {}, {Revision(10), Revision(10), Revision(10)}};
  cr_expect(relay.AnswerTo(call, schedule, now).status ==
            RelayStatus::kNotFresh);
}

Test(feed_schedule, states_its_era_to_hosts_that_know_an_earlier_one) {
  FeedSchedule schedule(1);
  ReadAll(schedule, kStart);
  const FeedRelay relay;
  const RelayCall call{0, 0, {}, {}};
  const RelayAnswer answer = relay.AnswerTo(call, schedule, kStart);
  cr_expect(answer.status == RelayStatus::kHistoryLost);
  cr_expect(answer.era == 1);
}

Test(feed_schedule, catches_up_with_the_store_when_its_relay_is_lost) {
  FeedSchedule schedule(1);
  ReadAll(schedule, kStart);
  for (const StoreTable table : kAllStoreTables)
    cr_expect(schedule.OnRelayed(table, Revision(12), kStart));
  cr_expect(schedule.NextCallAt(kTable, kStart) ==
            kStart + FeedSchedule::kRelayTimeout);
  cr_expect(!schedule.OnRelayed(kTable, Revision(11), kStart), "older");
  schedule.OnRelayLost(kStart);
  cr_assert(schedule.NextCallAt(kTable, kStart) <= kStart);
  const FeedCall call = schedule.Begin(kTable, kStart);
  cr_expect(call.position == Revision(12));
  cr_expect(call.wait == FeedSchedule::kCheckWait);
}

Test(feed_schedule, is_cut_off_until_the_store_itself_answers) {
  FeedSchedule schedule(1);
  FeedCall call = ReadAll(schedule, kStart)[IndexOf(kTable)];
  TimePoint now = kStart;
  for (int i = 0; i < 20; ++i) {
    cr_expect(schedule.OnAnswer(kTable, call,
                                Failure(TableStatus::kUnavailable),
                                now) == FeedVerdict::kFailed);
    now = std::max(now, schedule.NextCallAt(kTable, now));
    call = schedule.Begin(kTable, now);
  }
  cr_expect(schedule.IsCutOff(now));
  cr_expect(schedule.OnRelayed(kTable, Revision(12), now));
  cr_expect(schedule.IsCutOff(now));
  // The store is still called while another host relays it.
  cr_expect(schedule.NextCallAt(kTable, now) <= now + seconds(1));
  cr_expect(schedule.OnAnswer(kTable, call, FeedAt(13), now) ==
            FeedVerdict::kApplyChanges);
  cr_expect(!schedule.IsCutOff(now));
}
