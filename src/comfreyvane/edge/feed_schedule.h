/// @file
/// Decides when a host calls the store, and what an answer changes.
#ifndef COMFREYVANE_EDGE_FEED_SCHEDULE_H_
#define COMFREYVANE_EDGE_FEED_SCHEDULE_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "comfreyvane/base/random_source.h"
#include "comfreyvane/base/revision.h"
#include "comfreyvane/base/time.h"
#include "comfreyvane/edge/era_change.h"
#include "comfreyvane/edge/feed_call.h"
#include "comfreyvane/edge/feed_verdict.h"
#include "comfreyvane/edge/store_table.h"
#include "comfreyvane/storage/table_feed.h"

namespace comfreyvane {

/// Decides which calls a host makes to follow the tables of the store, when a
/// silent call is replaced by another, and what an answer changes.
///
/// A call for changes is held by the store until there is one. A connection on
/// which an answer was lost delivers nothing further, and the store may answer
/// calls for one table and not for another. So the answer of each table is
/// awaited on its own: a call that is silent for longer than it may be is
/// joined by another, and the held calls for the other tables are checked by a
/// call that the store answers almost at once. The first answer counts, so that
/// a slow store is followed too. A call whose answer is arriving is not silent,
/// however long the answer takes: another call would have to share the link.
class FeedSchedule {
 public:
  explicit FeedSchedule(std::uint64_t seed) : random_(seed) {}

  /// @return the earliest time of the next call for a table.
  [[nodiscard]] TimePoint NextCallAt(StoreTable table, TimePoint now) const;

  /// Begins a call for a table.
  /// @pre NextCallAt(table, now) <= now.
  [[nodiscard]] FeedCall Begin(StoreTable table, TimePoint now);

  /// @return the start of a call that another has joined, since it is silent or
  ///     may be.
  [[nodiscard]] std::optional<TimePoint> SilentSince(StoreTable table) const;

  /// Records that a part of the answer to a call has arrived.
  void OnProgress(StoreTable table, const FeedCall& call, TimePoint now);

  /// Records the result of a call. The caller applies the rows if the verdict
  /// says so.
  [[nodiscard]] FeedVerdict OnAnswer(StoreTable table,
                                     const FeedCall& call,
                                     const TableFeed& feed,
                                     TimePoint now);

  /// Records an era that the store or another host has stated. After a restore
  /// all tables are read again, at once and after kRewriteTime.
  EraChange OnEra(std::uint64_t era, TimePoint now);

  /// Records changes of a table that another host has relayed.
  /// @return whether they may be applied.
  [[nodiscard]] bool OnRelayed(StoreTable table,
                               Revision position,
                               TimePoint now);

  /// Records that no change of a table after the known position had been
  /// accepted at a point in time, by what a relay says.
  void OnConfirmed(StoreTable table, TimePoint at);

  /// Records that a part of another host's answer has arrived.
  void OnRelayProgress(TimePoint now);

  /// Records that no host relays the store, so that it is called at once.
  void OnRelayLost(TimePoint now);

  /// Records a call of another host that follows the store through this one.
  void OnFollower(TimePoint now) { last_follower_call_ = now; }

  /// @return whether relayed changes can be applied: all tables have been read.
  [[nodiscard]] bool MayFollowRelay() const;

  /// @return until when this host may relay, if no further answer comes: it
  ///     follows the store itself and has recent answers for each table whose
  ///     changes are urgent.
  [[nodiscard]] TimePoint RelaysUntil(TimePoint now) const;

  /// @return whether the store has not answered this host for so long that it
  ///     should ask any other.
  [[nodiscard]] bool IsCutOff(TimePoint now) const;

  /// @return whether rows that a read of all rows lacks stay in effect: the
  ///     store was restored, and lost rows are being written again.
  [[nodiscard]] bool KeepsMissingRows(StoreTable table) const {
    return Progress(table).reread_at != TimePoint::max();
  }

  /// @return the latest time at which the known rows of a table are known to
  ///     have been all there were; zero if there was none.
  [[nodiscard]] TimePoint ConfirmedAt(StoreTable table) const {
    return Progress(table).confirmed_at;
  }

  [[nodiscard]] std::uint64_t era() const { return era_; }
  [[nodiscard]] Revision position(StoreTable table) const {
    return Progress(table).position;
  }

  /// Pause after changes, so that the next answer batches those that follow.
  static constexpr Duration kBatchPause = std::chrono::milliseconds(350);
  /// How long the store may hold a call that checks whether it answers.
  static constexpr Duration kCheckWait = std::chrono::milliseconds(50);
  /// Time for an answer beyond its wait after which another call is made. Many
  /// times the latency of a lightly loaded store, and more than that of a slow
  /// one in another region.
  static constexpr Duration kPatience = std::chrono::milliseconds(400);
  /// The same for a read of all rows, which may take several pages.
  static constexpr Duration kSnapshotPatience = std::chrono::milliseconds(800);
  /// Maximum time for which another host may hold a call until there is a
  /// change. Short, since its end is how a dead host is detected.
  static constexpr Duration kMaxRelayWait = std::chrono::milliseconds(500);
  /// Time after a relay's answer during which the store is not called: a held
  /// call and its timeout.
  static constexpr Duration kRelayTimeout = std::chrono::milliseconds(900);
  /// Time for the transfer of an answer, after which another call is made
  /// although parts of it arrive.
  static constexpr Duration kMaxTransferTime = std::chrono::seconds(4);
  /// Maximum time since the operator's table was confirmed at a host that
  /// relays, which earlier builds do not state.
  static constexpr Duration kMaxRelayAge = std::chrono::milliseconds(1750);
  /// Time after the start of a new era of the store until lost rows have been
  /// written again; the platform states about two seconds. Until then, rows
  /// that are missing in the restored copy stay in effect.
  static constexpr Duration kRewriteTime = std::chrono::milliseconds(2500);

 private:
  /// Number of calls for a table that may be open at the same time.
  static constexpr std::size_t kMaxOpenCalls = 3;

  struct TableProgress {
    Revision position;
    bool needs_snapshot = true;  ///< All rows must be read.
    /// The last call was answered, so the next one may be held.
    bool is_current = false;
    bool is_suspect = false;  ///< The open calls may stay silent.
    int failures = 0;         ///< Calls that failed since the last answer.
    int silences = 0;         ///< Calls that were silent since the last answer.
    TimePoint called_at{};
    TimePoint next_call_at{};
    TimePoint answered_at{};        ///< By the store or a relay.
    TimePoint store_answered_at{};  ///< By the store.
    /// When there were no changes after the position, at least.
    TimePoint confirmed_at{};
    /// When to read all rows again after a new era; maximum if not needed.
    TimePoint reread_at = TimePoint::max();
    std::vector<FeedCall> open;  ///< By start.
  };

  [[nodiscard]] TableProgress& Progress(StoreTable table) {
    return tables_[IndexOf(table)];
  }
  [[nodiscard]] const TableProgress& Progress(StoreTable table) const {
    return tables_[IndexOf(table)];
  }

  [[nodiscard]] bool IsRelay(TimePoint now) const;
  [[nodiscard]] Duration MaxWait(StoreTable table, TimePoint now) const;
  [[nodiscard]] static TimePoint OverdueAt(const FeedCall& call);
  /// @return when the open calls for a table are silent.
  /// @pre there are open calls.
  [[nodiscard]] static TimePoint OverdueAt(const TableProgress& progress);
  void SuspectHeldCalls(TimePoint now);
  void OnFailure(TableProgress& progress, TimePoint now);
  [[nodiscard]] Duration RetryPause(int failures);

  RandomSource random_;
  std::array<TableProgress, kStoreTables> tables_;
  std::uint64_t era_ = 0;  ///< Of the store; 0 if unknown.
  std::uint64_t last_call_ = 0;
  TimePoint relayed_until_{};  ///< The store is not called before.
  TimePoint last_follower_call_{};
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_EDGE_FEED_SCHEDULE_H_
