#include "comfreyvane/edge/feed_schedule.h"

#include <algorithm>
#include <cassert>
#include <chrono>

namespace comfreyvane {
namespace {

/// Maximum time for which the store may hold a call until there is a change, by
/// table. The sum with kPatience bounds how late a lost answer is noticed. The
/// changes of the list of hosts are less urgent, since heartbeats show which
/// hosts are alive.
constexpr std::array<Duration, kStoreTables> kMaxWait{
    std::chrono::milliseconds(1000), std::chrono::milliseconds(2000),
    std::chrono::seconds(20)};

/// The same while this host relays to others: its delay adds to theirs.
constexpr std::array<Duration, kStoreTables> kMaxWaitOfRelay{
    std::chrono::milliseconds(900), std::chrono::milliseconds(1500),
    std::chrono::seconds(20)};

/// Tables whose changes are urgent.
constexpr std::array<StoreTable, 2> kUrgentTables{StoreTable::kOperator,
                                                  StoreTable::kBackends};

/// Pause after a failed call. Doubles with each consecutive failure.
constexpr Duration kMinRetryPause = std::chrono::milliseconds(100);
constexpr Duration kMaxRetryPause = std::chrono::milliseconds(400);

/// Interval of calls to a store that does not answer this host while another
/// host relays it.
constexpr Duration kProbeInterval = std::chrono::milliseconds(1000);

/// Time after another host's call during which this host counts as a relay.
constexpr Duration kFollowerTimeout = std::chrono::seconds(3);

}  // namespace

bool FeedSchedule::IsRelay(TimePoint now) const {
  return last_follower_call_ != TimePoint{} &&
         now - last_follower_call_ < kFollowerTimeout;
}

Duration FeedSchedule::MaxWait(StoreTable table, TimePoint now) const {
  return (IsRelay(now) ? kMaxWaitOfRelay : kMaxWait)[IndexOf(table)];
}

TimePoint FeedSchedule::OverdueAt(const FeedCall& call) {
  const TimePoint expected = call.begun + call.wait;
  const TimePoint overdue =
      expected + (call.is_snapshot ? kSnapshotPatience : kPatience);
  if (call.received_at == TimePoint{})
    return overdue;
  return std::max(overdue, std::min(call.received_at + kPatience,
                                    expected + kMaxTransferTime));
}

TimePoint FeedSchedule::OverdueAt(const TableProgress& progress) {
  TimePoint overdue = OverdueAt(progress.open.back());
  for (const FeedCall& call : progress.open) {
    if (call.received_at != TimePoint{})
      overdue = std::max(overdue, OverdueAt(call));
  }
  return overdue;
}

TimePoint FeedSchedule::NextCallAt(StoreTable table, TimePoint now) const {
  const TableProgress& progress = Progress(table);
  if (now >= progress.reread_at)
    return now;
  const bool is_relayed = !progress.needs_snapshot && now < relayed_until_;
  TimePoint next = progress.next_call_at;
  if (is_relayed && progress.failures > 0)
    next = std::max(next, progress.called_at + kProbeInterval);
  else if (is_relayed)
    next = relayed_until_;
  else if (!progress.open.empty() && !progress.is_suspect)
    next = std::max(next, OverdueAt(progress));
  return std::min(next, progress.reread_at);
}

FeedCall FeedSchedule::Begin(StoreTable table, TimePoint now) {
  assert(NextCallAt(table, now) <= now);
  TableProgress& progress = Progress(table);
  if (now >= progress.reread_at) {
    progress.reread_at = TimePoint::max();
    progress.needs_snapshot = true;
    progress.open.clear();
  }
  const bool is_silent = !progress.open.empty() && now >= OverdueAt(progress);
  if (is_silent) {
    ++progress.silences;
    SuspectHeldCalls(now);
  }
  const bool is_checked = !progress.open.empty() || !progress.is_current;
  progress.is_suspect = false;
  progress.is_current = progress.is_current && !is_checked;
  if (progress.open.size() == kMaxOpenCalls)
    progress.open.erase(progress.open.begin());
  FeedCall call{.id = ++last_call_,
                .is_snapshot = progress.needs_snapshot,
                .position = progress.position,
                .begun = now};
  if (!call.is_snapshot)
    call.wait = is_checked ? kCheckWait : MaxWait(table, now);
  progress.open.push_back(call);
  progress.called_at = now;
  progress.next_call_at = now;
  if (progress.silences > 0)
    progress.next_call_at = OverdueAt(call) + RetryPause(progress.silences);
  return call;
}

void FeedSchedule::SuspectHeldCalls(TimePoint now) {
  for (TableProgress& progress : tables_) {
    const bool is_held = !progress.open.empty() &&
                         progress.open.back().wait > kCheckWait &&
                         progress.open.back().received_at == TimePoint{} &&
                         now < OverdueAt(progress);
    if (is_held)
      progress.is_suspect = true;
  }
}

Duration FeedSchedule::RetryPause(int failures) {
  constexpr int kMaxDoublings = 4;
  const Duration pause =
      kMinRetryPause * (1 << std::min(failures - 1, kMaxDoublings));
  return Scaled(std::min(pause, kMaxRetryPause), 0.5 + random_.Uniform());
}

void FeedSchedule::OnFailure(TableProgress& progress, TimePoint now) {
  ++progress.failures;
  progress.is_current = false;
  const TimePoint retry = now + RetryPause(progress.failures);
  // The failure of a call that was silent does not delay the one that is
  // planned in its place.
  progress.next_call_at = progress.next_call_at > now
                              ? std::min(progress.next_call_at, retry)
                              : retry;
}

void FeedSchedule::OnProgress(StoreTable table,
                              const FeedCall& call,
                              TimePoint now) {
  TableProgress& progress = Progress(table);
  for (FeedCall& open : progress.open) {
    if (open.id != call.id)
      continue;
    open.received_at = now;
    progress.is_suspect = false;
  }
}

FeedVerdict FeedSchedule::OnAnswer(StoreTable table,
                                   const FeedCall& call,
                                   const TableFeed& feed,
                                   TimePoint now) {
  TableProgress& progress = Progress(table);
  const auto erased = std::erase_if(
      progress.open,
      [&call](const FeedCall& open) { return open.id == call.id; });
  const EraChange era = OnEra(feed.era, now);
  if (era == EraChange::kRestored)
    return FeedVerdict::kNewEra;
  if (erased == 0)
    return FeedVerdict::kSuperseded;
  if (era == EraChange::kOutdated) {
    OnFailure(progress, now);
    return FeedVerdict::kOutdatedEra;
  }
  if (feed.history_lost) {
    progress.needs_snapshot = true;
    progress.open.clear();
    progress.next_call_at = now;
    return FeedVerdict::kHistoryLost;
  }
  if (feed.status != TableStatus::kDone) {
    if (call.wait > kCheckWait)
      SuspectHeldCalls(now);
    OnFailure(progress, now);
    return FeedVerdict::kFailed;
  }
  if (feed.position < progress.position) {
    OnFailure(progress, now);
    return FeedVerdict::kStale;
  }
  progress.open.clear();
  progress.position = feed.position;
  progress.needs_snapshot = false;
  // An answer with a change confirms only the time of its call, so the next
  // call for an urgent table is not held.
  progress.is_current = feed.rows.empty() || table != StoreTable::kOperator;
  progress.failures = 0;
  progress.silences = 0;
  progress.answered_at = now;
  progress.store_answered_at = now;
  // An answer without rows was held for all of its wait.
  const Duration held = feed.rows.empty() ? call.wait : Duration::zero();
  OnConfirmed(table, std::min(now, call.begun + held));
  progress.next_call_at = feed.rows.empty() ? now : now + kBatchPause;
  return call.is_snapshot ? FeedVerdict::kApplySnapshot
                          : FeedVerdict::kApplyChanges;
}

EraChange FeedSchedule::OnEra(std::uint64_t era, TimePoint now) {
  if (era == 0 || era == era_)
    return EraChange::kNone;
  if (era < era_)
    return EraChange::kOutdated;
  const bool is_first = era_ == 0;
  era_ = era;
  if (is_first)
    return EraChange::kFirst;
  relayed_until_ = TimePoint{};
  for (TableProgress& progress : tables_) {
    progress.needs_snapshot = true;
    progress.is_current = false;
    progress.is_suspect = false;
    progress.position = Revision();
    progress.next_call_at = now;
    progress.reread_at = now + kRewriteTime;
    progress.open.clear();
  }
  return EraChange::kRestored;
}

bool FeedSchedule::OnRelayed(StoreTable table,
                             Revision position,
                             TimePoint now) {
  relayed_until_ = now + kRelayTimeout;
  TableProgress& progress = Progress(table);
  if (progress.needs_snapshot || position < progress.position)
    return false;
  progress.position = position;
  progress.answered_at = now;
  progress.silences = 0;
  progress.is_current = false;
  // The answer to a call to a store that failed shows that it is back.
  if (progress.failures == 0)
    progress.open.clear();
  return true;
}

void FeedSchedule::OnConfirmed(StoreTable table, TimePoint at) {
  TableProgress& progress = Progress(table);
  // A restored copy shows what had been accepted before, until what was lost
  // has been written again.
  if (progress.reread_at == TimePoint::max())
    progress.confirmed_at = std::max(progress.confirmed_at, at);
}

void FeedSchedule::OnRelayProgress(TimePoint now) {
  relayed_until_ = std::max(relayed_until_, now + kPatience);
}

void FeedSchedule::OnRelayLost(TimePoint now) {
  if (now >= relayed_until_)
    return;
  relayed_until_ = TimePoint{};
  for (TableProgress& progress : tables_)
    progress.next_call_at = now;
}

bool FeedSchedule::MayFollowRelay() const {
  return std::none_of(
      tables_.begin(), tables_.end(),
      [](const TableProgress& progress) { return progress.needs_snapshot; });
}

TimePoint FeedSchedule::RelaysUntil(TimePoint now) const {
  TimePoint until = TimePoint::max();
  for (const StoreTable table : kUrgentTables) {
    const TableProgress& progress = Progress(table);
    if (now < relayed_until_ || progress.needs_snapshot ||
        progress.failures > 0)
      return TimePoint{};
    until = std::min(until, progress.answered_at + kBatchPause +
                                kMaxWait[IndexOf(table)] + kPatience);
  }
  return until;
}

bool FeedSchedule::IsCutOff(TimePoint now) const {
  const TableProgress& progress = Progress(StoreTable::kOperator);
  return progress.failures > 0 && !progress.needs_snapshot &&
         now - progress.store_answered_at >
             kMaxWait[IndexOf(StoreTable::kOperator)] + kPatience;
}

std::optional<TimePoint> FeedSchedule::SilentSince(StoreTable table) const {
  const std::vector<FeedCall>& open = Progress(table).open;
  return open.size() > 1 ? std::optional(open.front().begun) : std::nullopt;
}

}  // namespace comfreyvane
