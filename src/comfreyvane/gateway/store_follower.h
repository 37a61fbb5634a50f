/// @file
/// Follows the tables of the platform's store.
#ifndef COMFREYVANE_GATEWAY_STORE_FOLLOWER_H_
#define COMFREYVANE_GATEWAY_STORE_FOLLOWER_H_

#include <algorithm>
#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <list>
#include <map>
#include <string>
#include <string_view>
#include <unordered_set>
#include <utility>
#include <vector>

#include "comfreyvane/base/random_source.h"
#include "comfreyvane/edge/entry_history.h"
#include "comfreyvane/edge/feed_log.h"
#include "comfreyvane/edge/registry_tracker.h"
#include "comfreyvane/gateway/dependency_monitor.h"
#include "comfreyvane/gateway/fleet_codec.h"
#include "comfreyvane/gateway/gateway_state.h"
#include "comfreyvane/gateway/relay_answer.h"
#include "comfreyvane/gateway/relay_call.h"
#include "comfreyvane/gateway/relay_client.h"
#include "comfreyvane/gateway/store_table.h"
#include "comfreyvane/gateway/table_monitor.h"
#include "comfreyvane/net/async.h"
#include "comfreyvane/net/clock.h"
#include "comfreyvane/storage/table_feed.h"
#include "comfreyvane/storage/table_outcome.h"
#include "comfreyvane/storage/table_transaction.h"

namespace comfreyvane {

/// Follows the tables of the platform's store, applies their changes to the
/// gateway, and registers this host there. One host of each failure domain
/// follows the store directly and relays changes to the others. If it loses the
/// store, the others follow the store directly.
/// @tparam Platform has a Store, and decodes its rows.
template <typename Platform>
class StoreFollower {
 public:
  using Store = typename Platform::Store;

  StoreFollower(GatewayState& state,
                asio::io_context& io,
                TimeoutSweeper& sweeper,
                Store& store,
                std::uint64_t seed)
      : state_(state),
        io_(io),
        store_(store),
        random_(seed),
        relay_client_(state, io, sweeper, seed) {}

  void Start() {
    for (const StoreTable table : kAllStoreTables)
      asio::co_spawn(io_, Follow(table), asio::detached);
    asio::co_spawn(io_, FollowRelay(), asio::detached);
    asio::co_spawn(io_, RegisterSelf(), asio::detached);
  }

  /// Answers another host's call for changes. If there are none yet, waits for
  /// them as long as the call permits.
  [[nodiscard]] asio::awaitable<RelayAnswer> WaitForChanges(RelayCall call) {
    const TimePoint expiry = MonotonicNow() + call.wait;
    while (true) {
      const TimePoint now = MonotonicNow();
      last_relay_call_ = now;
      RelayAnswer answer = ChangesSince(call, now);
      const bool changed =
          std::any_of(answer.feeds.begin(), answer.feeds.end(),
                      [](const TableFeed& feed) { return !feed.rows.empty(); });
      if (answer.status != RelayStatus::kDone || changed || now >= expiry)
        co_return answer;
      co_await PauseUntil(expiry, relay_waiters_);
    }
  }

  /// Stops following the store. Running calls are not cancelled.
  void Stop() { stopped_ = true; }

  /// Removes servers whose entries have been deleted. Must be called
  /// periodically.
  void OnTick(TimePoint now) {
    for (const std::string& key : backends_.TakeRemoved(now)) {
      history_.OnRemoved(key, now);
      state_.RemoveBackend(key, now);
    }
    history_.Prune(now);
    const Duration age =
        progress_[IndexOf(StoreTable::kOperator)].monitor.Age(now);
    state_.context().metrics.SetGauge(GaugeName::kConfigurationAgeMs,
                                      age / std::chrono::milliseconds(1));
  }

 private:
  /// Maximum time for which the store may hold a call until there is a change.
  /// A call that exceeds it reveals a dead connection.
  static constexpr Duration kMaxStoreWait = std::chrono::seconds(4);
  /// The same for the list of hosts. Its changes are less urgent, since
  /// heartbeats show which hosts are alive.
  static constexpr Duration kMaxHostsWait = std::chrono::seconds(20);
  /// Pause after changes, so that the next answer batches those that follow.
  /// Short compared to the bound of 2.5 s on the delay of configurations and of
  /// the removal of servers.
  static constexpr Duration kBatchPause = std::chrono::milliseconds(350);
  /// Pause after a failed call. Doubles with each consecutive failure.
  static constexpr Duration kMinRetryPause = std::chrono::milliseconds(100);
  static constexpr Duration kMaxRetryPause = std::chrono::milliseconds(400);
  /// Maximum time for which another host may hold a call until there is a
  /// change. Short, since its end is how a dead host is detected.
  static constexpr Duration kMaxRelayWait = std::chrono::milliseconds(1000);
  /// Maximum time for which the store may hold a call while this host relays to
  /// others. Short, since each answer shows that the store is still reachable.
  static constexpr Duration kMaxWaitWhileRelaying =
      std::chrono::milliseconds(1000);
  /// Maximum age of the store's last answer for changes to be relayed: a held
  /// call and its timeout.
  static constexpr Duration kMaxRelayedAge = std::chrono::milliseconds(2200);
  /// Time after another host's call during which this host counts as a relay.
  static constexpr Duration kFollowerTimeout = std::chrono::seconds(3);
  /// Time after a relay's answer during which the store is not called: a held
  /// call and its timeout.
  static constexpr Duration kRelayTimeout = std::chrono::milliseconds(1500);
  /// Interval of checks for a host that can act as relay.
  static constexpr Duration kRelayCheckInterval =
      std::chrono::milliseconds(250);
  /// Size of the log of changes per table that is kept for other hosts: many
  /// times the changes during a held call.
  static constexpr std::size_t kLogBytes = 1024 * 1024;
  /// Time after the start of a new era of the store until lost rows have been
  /// written again; the platform states about two seconds. Until then, rows
  /// that are missing in the restored copy stay in effect.
  static constexpr Duration kRewriteTime = std::chrono::milliseconds(2500);
  /// Interval of checks whether this host is registered.
  static constexpr Duration kRegistrationCheckInterval =
      std::chrono::milliseconds(1000);
  static constexpr std::string_view kSecretRowKey = "!secret";

  [[nodiscard]] asio::awaitable<void> Pause(Duration span) {
    asio::steady_timer timer(io_);
    timer.expires_after(span);
    co_await timer.async_wait(kAwait);
  }

  using Timers = std::list<asio::steady_timer*>;

  /// Waits until a point in time, or until Wake is called for the list.
  [[nodiscard]] asio::awaitable<void> PauseUntil(TimePoint until,
                                                 Timers& timers) {
    asio::steady_timer timer(io_);
    timer.expires_after(until - MonotonicNow());
    const auto position = timers.insert(timers.end(), &timer);
    co_await timer.async_wait(kAwait);
    timers.erase(position);
  }

  static void Wake(Timers& timers) {
    for (asio::steady_timer* timer : timers)
      timer->cancel();
  }

  /// @return how long the store may hold the next call for a table.
  [[nodiscard]] Duration WaitFor(StoreTable table, TimePoint now) const {
    const TimePoint reread_at = progress_[IndexOf(table)].reread_at;
    if (reread_at != TimePoint::max())
      return std::clamp(reread_at - now, kMinRetryPause, kMaxStoreWait);
    if (table == StoreTable::kHosts)
      return kMaxHostsWait;
    const bool is_relay = now - last_relay_call_ < kFollowerTimeout;
    return is_relay && table == StoreTable::kOperator ? kMaxWaitWhileRelaying
                                                      : kMaxStoreWait;
  }

  [[nodiscard]] Duration Jittered(Duration span) {
    return Scaled(span, 0.5 + random_.Uniform());
  }

  /// Follows a table directly, except while a relay is followed.
  [[nodiscard]] asio::awaitable<void> Follow(StoreTable table) {
    Progress& progress = progress_[IndexOf(table)];
    Duration pause = kMinRetryPause;
    while (!stopped_) {
      const TimePoint begun = MonotonicNow();
      if (begun >= progress.reread_at) {
        progress.reread_at = TimePoint::max();
        progress.needs_snapshot = true;
      }
      if (!progress.needs_snapshot && begun < relayed_until_) {
        co_await PauseUntil(std::min(relayed_until_, progress.reread_at),
                            direct_waiters_);
        continue;
      }
      const bool is_snapshot = progress.needs_snapshot;
      TableFeed feed;
      if (is_snapshot)
        feed = co_await store_.Read(table);
      else
        feed = co_await store_.Follow(table, progress.position,
                                      WaitFor(table, begun));
      const TimePoint now = MonotonicNow();
      if (!AcceptEra(feed.era, now))
        continue;
      if (feed.history_lost) {
        Log(LogLevel::kWarning, "history-lost",
            {{"table", static_cast<int>(table)},
             {"position", progress.position}});
        progress.needs_snapshot = true;
        continue;
      }
      if (feed.status != TableStatus::kDone) {
        OnFailure(feed.status, begun, now);
        progress.monitor.OnFailure(ReasonOf(feed.status), progress.position,
                                   begun, now);
        co_await PauseUntil(now + Jittered(pause), retries_);
        pause = std::min(2 * pause, kMaxRetryPause);
        continue;
      }
      OnSuccess(now);
      progress.monitor.OnAnswer("store", feed.position, now);
      pause = kMinRetryPause;
      if (!is_snapshot && progress.needs_snapshot)
        continue;
      if (feed.position < progress.position) {
        // A stale read: the position is older than that of applied changes.
        co_await Pause(kMinRetryPause);
        continue;
      }
      ApplyFeed(table, feed, is_snapshot, now);
      if (!feed.rows.empty())
        co_await Pause(kBatchPause);
    }
  }

  /// Follows the store through a relay while one is available.
  [[nodiscard]] asio::awaitable<void> FollowRelay() {
    FleetView& fleet = state_.context().fleet;
    while (!stopped_) {
      const TimePoint begun = MonotonicNow();
      const auto host = fleet.FindRelay(begun);
      if (!host || !MayFollowRelay()) {
        SetRelay({});
        co_await Pause(kRelayCheckInterval);
        continue;
      }
      RelayCall call{0, era_, kMaxRelayWait, {}};
      for (std::size_t i = 0; i < kStoreTables; ++i)
        call.positions[i] = progress_[i].position;
      const RelayAnswer answer =
          co_await relay_client_.RequestChanges(*host, call);
      const TimePoint now = MonotonicNow();
      if (call.era != era_)
        continue;
      if (answer.status != RelayStatus::kDone) {
        LogRelayFailure(*host, answer.status);
        fleet.OnRelayFailed(host->id(), now);
        relayed_until_ = TimePoint{};
        Wake(direct_waiters_);
        continue;
      }
      SetRelay(host->name);
      relayed_until_ = now + kRelayTimeout;
      ApplyRelayed(answer, now);
    }
  }

  [[nodiscard]] bool MayFollowRelay() const {
    return !state_.fleet_secret().empty() &&
           std::none_of(progress_.begin(), progress_.end(),
                        [](const Progress& progress) {
                          return progress.needs_snapshot;
                        });
  }

  void ApplyRelayed(const RelayAnswer& answer, TimePoint now) {
    for (const StoreTable table : kAllStoreTables) {
      const TableFeed& feed = answer.feeds[IndexOf(table)];
      const Progress& progress = progress_[IndexOf(table)];
      if (!progress.needs_snapshot && feed.position >= progress.position) {
        ApplyFeed(table, feed, false, now);
        progress_[IndexOf(table)].monitor.OnAnswer(relay_, feed.position, now);
      }
    }
  }

  void SetRelay(const std::string& name) {
    if (name == relay_)
      return;
    Log(LogLevel::kInfo, "relay-changed", {{"host", name}, {"before", relay_}});
    relay_ = name;
  }

  void LogRelayFailure(const FleetHost& host, RelayStatus status) {
    static constexpr std::string_view kReasons[] = {
        "done", "not-fresh", "history-lost", "no-answer"};
    Log(LogLevel::kWarning, "relay-lost",
        {{"host", host.name},
         {"reason", kReasons[static_cast<std::size_t>(status)]}});
    state_.context().metrics.Count(CounterName::kPeerFailures);
  }

  /// @return changes after the positions of a call, if this host follows the
  ///     store directly and got a recent answer from it.
  [[nodiscard]] RelayAnswer ChangesSince(const RelayCall& call,
                                         TimePoint now) const {
    RelayAnswer answer;
    const bool is_fresh = now >= relayed_until_ && !monitor_.is_failing() &&
                          now - last_store_answer_ <= kMaxRelayedAge;
    if (is_fresh && call.era < era_)
      return {RelayStatus::kHistoryLost};
    const bool is_current = is_fresh && call.era == era_;
    answer.status = is_current ? RelayStatus::kDone : RelayStatus::kNotFresh;
    for (std::size_t i = 0; is_current && i < kStoreTables; ++i) {
      auto feed = progress_[i].log.Since(call.positions[i]);
      if (!feed)
        return {RelayStatus::kHistoryLost};
      answer.feeds[i] = std::move(*feed);
    }
    return answer;
  }

  /// Compares the era of an answer with the current one. A newer era replaces
  /// it and makes all tables be read again, at once and after kRewriteTime.
  /// @return whether the answer may be used: it has no era, has the current
  /// one,
  ///     or is the first with an era.
  [[nodiscard]] bool AcceptEra(std::uint64_t era, TimePoint now) {
    if (era == 0 || era == era_)
      return true;
    if (era < era_) {
      Log(LogLevel::kWarning, "store-answer-of-an-older-era",
          {{"era", era}, {"known", era_}});
      return false;
    }
    const std::uint64_t before = std::exchange(era_, era);
    Log(before == 0 ? LogLevel::kInfo : LogLevel::kWarning, "store-era",
        {{"era", era}, {"before", before}});
    if (before == 0)
      return true;
    RestartFromSnapshot(now);
    return false;
  }

  /// Discards the position in each table, after the store was restored from a
  /// copy.
  void RestartFromSnapshot(TimePoint now) {
    state_.context().metrics.Count(CounterName::kTableFailures);
    backends_.OnStoreFailure(now);
    relayed_until_ = TimePoint{};
    outdated_entries_until_ = now + EntryHistory::kRetention;
    // The copy may lack them. The held call for this table returns only after a
    // change, so they are written again without waiting for it.
    EraseOwnRows();
    for (Progress& progress : progress_) {
      progress.needs_snapshot = true;
      progress.position = Revision();
      progress.reread_at = now + kRewriteTime;
      progress.log.Clear();
    }
    Wake(direct_waiters_);
    Wake(relay_waiters_);
  }

  void OnSuccess(TimePoint now) {
    last_store_answer_ = now;
    if (monitor_.is_failing())
      Wake(retries_);
    monitor_.OnSuccess(now);
  }

  [[nodiscard]] static std::string_view ReasonOf(TableStatus status) {
    static constexpr std::string_view kReasons[] = {
        "done", "conflict", "unavailable", "no-answer", "malformed"};
    return kReasons[static_cast<std::size_t>(status)];
  }

  void OnFailure(TableStatus status, TimePoint begun, TimePoint now) {
    monitor_.OnFailure(ReasonOf(status), now);
    backends_.OnStoreFailure(begun);
    Wake(relay_waiters_);
    state_.context().metrics.Count(CounterName::kTableFailures);
  }

  void ApplyFeed(StoreTable table,
                 const TableFeed& feed,
                 bool is_snapshot,
                 TimePoint now) {
    state_.context().metrics.Count(CounterName::kTableCalls);
    Progress& progress = progress_[IndexOf(table)];
    progress.position = feed.position;
    progress.needs_snapshot = false;
    if (is_snapshot) {
      progress.log.Restart(feed.position);
      if (progress.reread_at == TimePoint::max())
        DeleteMissingRows(table, feed, now);
      else if (table == StoreTable::kHosts)
        EraseOwnMissingRows(feed);
    } else {
      progress.log.Add(feed);
    }
    if (!feed.rows.empty())
      Wake(relay_waiters_);
    for (const TableRow& row : feed.rows)
      Apply(table, row, now);
    if (table == StoreTable::kHosts && (is_snapshot || !feed.rows.empty()))
      ApplyHosts(now);
    if (table == StoreTable::kBackends && is_snapshot)
      Log(LogLevel::kInfo, "registry-read",
          {{"entries", feed.rows.size()}, {"position", feed.position}});
  }

  [[nodiscard]] static bool ContainsRow(const TableFeed& feed,
                                        const std::string& key) {
    return std::any_of(feed.rows.begin(), feed.rows.end(),
                       [&key](const TableRow& row) { return row.key == key; });
  }

  void DeleteMissingRows(StoreTable table,
                         const TableFeed& feed,
                         TimePoint now) {
    auto& known = rows_[table];
    std::vector<std::string> missing;
    for (const auto& [key, row] : known) {
      if (!ContainsRow(feed, key))
        missing.push_back(key);
    }
    for (const std::string& key : missing)
      Apply(table, TableRow{key, {}, Revision()}, now);
  }

  /// Erases this host's own rows that are missing in a restored copy from the
  /// known rows, so that they are written again immediately.
  void EraseOwnMissingRows(const TableFeed& feed) {
    for (const std::string& key : OwnRowKeys()) {
      if (!ContainsRow(feed, key))
        rows_[StoreTable::kHosts].erase(key);
    }
  }

  /// Erases this host's own rows from the known rows, so that they are written
  /// again if the store does not have them.
  void EraseOwnRows() {
    for (const std::string& key : OwnRowKeys())
      rows_[StoreTable::kHosts].erase(key);
  }

  [[nodiscard]] std::array<std::string, 2> OwnRowKeys() const {
    return {state_.context().settings.name, std::string(kSecretRowKey)};
  }

  void Apply(StoreTable table, const TableRow& row, TimePoint now) {
    const bool deleted = row.revision == Revision();
    if (deleted)
      rows_[table].erase(row.key);
    else
      rows_[table][row.key] = row;
    if (table == StoreTable::kOperator)
      ApplyOperator(row, deleted, now);
    else if (table == StoreTable::kBackends)
      ApplyBackend(row, deleted, now);
    else if (row.key == kSecretRowKey && !deleted)
      state_.SetFleetSecret(row.value);
  }

  void ApplyOperator(const TableRow& row, bool deleted, TimePoint now) {
    const auto decoded = Platform::DecodeOperatorRow(row);
    using Table = std::shared_ptr<const RouteTable>;
    if (const auto* table = std::get_if<Table>(&decoded)) {
      if (!deleted)
        state_.ApplyConfiguration(*table, now);
    } else if (const auto* fault = std::get_if<2>(&decoded)) {
      if (!deleted)
        SkipRow(row, Name(*fault));
    } else {
      const auto& domain = std::get<1>(decoded).failure_domain;
      state_.SetEvacuated(domain, !deleted, now);
    }
  }

  void ApplyBackend(const TableRow& row, bool deleted, TimePoint now) {
    if (deleted) {
      backends_.OnDeleted(row.key, now);
      OnTick(now);
      return;
    }
    const auto decoded = Platform::DecodeBackendRow(row);
    if (const auto* entry = std::get_if<BackendEntry>(&decoded)) {
      if (now < outdated_entries_until_ && history_.IsOutdated(*entry)) {
        Log(LogLevel::kWarning, "entry-outdated",
            {{"server", entry->name},
             {"sequence", entry->sequence},
             {"era", era_}});
        return;
      }
      history_.OnListed(*entry);
      backends_.OnListed(row.key);
      state_.UpsertBackend(*entry, now);
      return;
    }
    SkipRow(row, Name(std::get<1>(decoded)));
    // The earlier entry under this key must not be used any more either.
    backends_.OnDeleted(row.key, now);
  }

  void SkipRow(const TableRow& row, std::string_view reason) {
    state_.context().metrics.Count(CounterName::kSkippedRows);
    Log(LogLevel::kWarning, "row-skipped",
        {{"row", row.key}, {"revision", row.revision}, {"reason", reason}});
  }

  void ApplyHosts(TimePoint now) {
    std::vector<FleetHost> hosts;
    for (const auto& [key, row] : rows_[StoreTable::kHosts]) {
      if (key == kSecretRowKey)
        continue;
      if (auto host = ParseFleetHost(row.value))
        hosts.push_back(std::move(*host));
      else
        SkipRow(row, "not-a-host");
    }
    state_.SetHosts(hosts, now);
    has_read_hosts_ = true;
  }

  /// Writes the row of this host, and creates the fleet's secret if there is
  /// none. Both are repeated until they appear in the table.
  [[nodiscard]] asio::awaitable<void> RegisterSelf() {
    const FleetHost self = state_.context().fleet.self();
    const std::string text = EncodeFleetHost(self);
    while (!stopped_) {
      if (has_read_hosts_ && !state_.context().leaving) {
        const auto& hosts = rows_[StoreTable::kHosts];
        TableTransaction change;
        const auto own = hosts.find(self.name);
        if (own == hosts.end() || own->second.value != text)
          change.writes.push_back({self.name, text});
        if (!hosts.contains(std::string(kSecretRowKey))) {
          change.conditions.push_back({std::string(kSecretRowKey), Revision()});
          // Writes the current secret again if the store has lost it.
          change.writes.push_back(
              {std::string(kSecretRowKey), state_.fleet_secret().empty()
                                               ? state_.GenerateSecret()
                                               : state_.fleet_secret()});
        }
        if (!change.writes.empty())
          co_await CommitHosts(change);
      }
      co_await Pause(has_read_hosts_ ? kRegistrationCheckInterval
                                     : kMinRetryPause);
    }
  }

  [[nodiscard]] asio::awaitable<void> CommitHosts(
      const TableTransaction& change) {
    const TimePoint begun = MonotonicNow();
    const TableOutcome outcome =
        co_await store_.Commit(StoreTable::kHosts, change);
    const TimePoint now = MonotonicNow();
    if (!AcceptEra(outcome.era, now))
      co_return;
    if (outcome.status == TableStatus::kDone) {
      // Applied before the feed returns them, so that they are not written
      // twice.
      for (const TableWrite& write : change.writes)
        Apply(StoreTable::kHosts,
              {write.key, write.value.value_or(""), outcome.revision}, now);
      ApplyHosts(now);
    } else if (outcome.status == TableStatus::kConflict) {
      for (const TableRow& row : outcome.conflicts)
        Apply(StoreTable::kHosts, row, now);
    } else {
      OnFailure(outcome.status, begun, now);
    }
  }

  /// State of following a table.
  struct Progress {
    explicit Progress(StoreTable table) : monitor(Name(table)) {}

    Revision position;
    bool needs_snapshot = true;  ///< All rows must be read.
    /// When to read all rows again after a new era; maximum if not needed.
    TimePoint reread_at = TimePoint::max();
    FeedLog log{kLogBytes};
    TableMonitor monitor;
  };

  GatewayState& state_;
  asio::io_context& io_;
  Store& store_;
  RandomSource random_;
  RelayClient relay_client_;
  std::array<Progress, kStoreTables> progress_{Progress(StoreTable::kOperator),
                                               Progress(StoreTable::kBackends),
                                               Progress(StoreTable::kHosts)};
  std::string relay_;                   ///< Name of the relay; empty if none.
  TimePoint relayed_until_{};           ///< The store is not called before.
  TimePoint last_store_answer_{};       ///< Last answer of the store.
  TimePoint last_relay_call_{};         ///< Last call of another host.
  std::uint64_t era_ = 0;               ///< Of the store; 0 if unknown.
  TimePoint outdated_entries_until_{};  ///< Old entries may reappear.
  EntryHistory history_;
  RegistryTracker backends_;
  DependencyMonitor monitor_{"store"};
  std::map<StoreTable, std::map<std::string, TableRow>> rows_;
  Timers retries_;         ///< Of calls that wait for a retry.
  Timers direct_waiters_;  ///< Of tables while a relay is followed.
  Timers relay_waiters_;   ///< Of calls of other hosts.
  bool has_read_hosts_ = false;
  bool stopped_ = false;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_GATEWAY_STORE_FOLLOWER_H_
