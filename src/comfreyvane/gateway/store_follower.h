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
#include <list>
#include <string>
#include <string_view>
#include <utility>

#include "comfreyvane/edge/feed_relay.h"
#include "comfreyvane/edge/feed_schedule.h"
#include "comfreyvane/edge/relay_answer.h"
#include "comfreyvane/edge/relay_call.h"
#include "comfreyvane/edge/store_table.h"
#include "comfreyvane/gateway/dependency_monitor.h"
#include "comfreyvane/gateway/gateway_state.h"
#include "comfreyvane/gateway/relay_client.h"
#include "comfreyvane/gateway/store_rows.h"
#include "comfreyvane/gateway/table_monitor.h"
#include "comfreyvane/net/async.h"
#include "comfreyvane/net/clock.h"
#include "comfreyvane/storage/table_feed.h"
#include "comfreyvane/storage/table_outcome.h"
#include "comfreyvane/storage/table_transaction.h"

namespace comfreyvane {

/// Follows the tables of the platform's store, and registers this host there.
/// One host of each failure domain follows the store directly and relays
/// changes to the others. If it loses the store, the others follow the store
/// directly. Makes the calls that FeedSchedule decides on; StoreRows applies
/// the rows.
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
        schedule_(seed),
        rows_(state),
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
    const TimePoint arrived = MonotonicNow();
    const TimePoint expiry = arrived + call.wait;
    while (true) {
      const TimePoint now = MonotonicNow();
      schedule_.OnFollower(now);
      if (call.era > schedule_.era())
        AcceptEra(call.era, now);
      RelayAnswer answer = feed_relay_.AnswerTo(call, schedule_, now);
      const bool changed =
          std::any_of(answer.feeds.begin(), answer.feeds.end(),
                      [](const TableFeed& feed) { return !feed.rows.empty(); });
      answer.confirmed_before =
          arrived - schedule_.ConfirmedAt(StoreTable::kOperator);
      if (answer.status != RelayStatus::kDone || changed || now >= expiry)
        co_return answer;
      co_await PauseUntil(std::min(expiry, schedule_.RelaysUntil(now)),
                          relay_waiters_);
    }
  }

  /// Stops following the store. Running calls are not cancelled.
  void Stop() { stopped_ = true; }

  /// Removes servers whose entries have been deleted. Must be called
  /// periodically.
  void OnTick(TimePoint now) {
    rows_.OnTick(now);
    const Duration age = state_.context().freshness.Age(now);
    state_.context().metrics.SetGauge(GaugeName::kConfigurationAgeMs,
                                      age / std::chrono::milliseconds(1));
  }

 private:
  /// Interval of checks for a host that can act as relay, and pause after one
  /// that could not.
  static constexpr Duration kRelayCheckInterval =
      std::chrono::milliseconds(250);
  /// Interval of checks whether this host is registered.
  static constexpr Duration kRegistrationCheckInterval =
      std::chrono::milliseconds(1000);
  /// The same before the list of hosts has been read.
  static constexpr Duration kListCheckInterval = std::chrono::milliseconds(100);
  static constexpr std::string_view kStoreSource = "store";

  using Timers = std::list<asio::steady_timer*>;

  [[nodiscard]] asio::awaitable<void> Pause(Duration span) {
    asio::steady_timer timer(io_);
    timer.expires_after(span);
    co_await timer.async_wait(kAwait);
  }

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

  /// Begins the calls for a table.
  [[nodiscard]] asio::awaitable<void> Follow(StoreTable table) {
    while (!stopped_) {
      const TimePoint now = MonotonicNow();
      const TimePoint due = schedule_.NextCallAt(table, now);
      if (due > now) {
        co_await PauseUntil(due, call_waiters_);
        continue;
      }
      const FeedCall call = schedule_.Begin(table, now);
      if (const auto silent_since = schedule_.SilentSince(table)) {
        Monitor(table).OnFailure("silent", schedule_.position(table),
                                 *silent_since, now);
        Wake(call_waiters_);
      }
      asio::co_spawn(io_, Run(table, call), asio::detached);
    }
  }

  [[nodiscard]] asio::awaitable<void> Run(StoreTable table, FeedCall call) {
    TableFeed feed;
    const auto on_progress = [this, table, call] {
      schedule_.OnProgress(table, call, MonotonicNow());
    };
    if (call.is_snapshot)
      feed = co_await store_.Read(table, on_progress);
    else
      feed =
          co_await store_.Follow(table, call.position, call.wait, on_progress);
    const TimePoint now = MonotonicNow();
    const std::uint64_t era = schedule_.era();
    switch (schedule_.OnAnswer(table, call, feed, now)) {
      case FeedVerdict::kApplySnapshot:
      case FeedVerdict::kApplyChanges:
        OnAnswered(table, kStoreSource, now);
        ApplyFeed(table, feed, call.is_snapshot, now);
        break;
      case FeedVerdict::kSuperseded:
        break;
      case FeedVerdict::kStale:
        OnFailed(table, "stale-read", call.begun, now);
        break;
      case FeedVerdict::kOutdatedEra:
        LogOutdatedEra(feed.era);
        break;
      case FeedVerdict::kNewEra:
        OnRestored(era, now);
        break;
      case FeedVerdict::kHistoryLost:
        Log(LogLevel::kWarning, "history-lost",
            {{"table", Name(table)}, {"position", call.position}});
        break;
      case FeedVerdict::kFailed:
        OnFailed(table, ReasonOf(feed.status), call.begun, now);
        break;
    }
    LogFirstEra(era);
    Wake(call_waiters_);
  }

  /// Follows the store through a relay while one is available.
  [[nodiscard]] asio::awaitable<void> FollowRelay() {
    FleetView& fleet = state_.context().fleet;
    while (!stopped_) {
      const TimePoint begun = MonotonicNow();
      const auto host = schedule_.IsCutOff(begun) ? fleet.FindAnyRelay(begun)
                                                  : fleet.FindRelay(begun);
      if (!host || state_.fleet_secret().empty() ||
          !schedule_.MayFollowRelay()) {
        SetRelay({});
        co_await Pause(kRelayCheckInterval);
        continue;
      }
      RelayCall call{0, schedule_.era(), FeedSchedule::kMaxRelayWait, {}};
      for (const StoreTable table : kAllStoreTables)
        call.positions[IndexOf(table)] = schedule_.position(table);
      const RelayAnswer answer = co_await relay_client_.RequestChanges(
          *host, call, [this] { schedule_.OnRelayProgress(MonotonicNow()); });
      const TimePoint now = MonotonicNow();
      if (answer.era > schedule_.era())
        AcceptEra(answer.era, now);
      if (call.era != schedule_.era())
        continue;
      if (answer.status == RelayStatus::kDone) {
        SetRelay(host->name);
        fleet.OnRelayed(host->id());
        ApplyRelayed(answer, begun, now);
        continue;
      }
      LogRelayFailure(*host, answer);
      fleet.OnRelayFailed(host->id(), now);
      schedule_.OnRelayLost(now);
      Wake(call_waiters_);
      if (!fleet.IsInOwnDomain(host->id()))
        co_await Pause(kRelayCheckInterval);
    }
  }

  /// @param begun start of the call.
  void ApplyRelayed(const RelayAnswer& answer, TimePoint begun, TimePoint now) {
    for (const StoreTable table : kAllStoreTables) {
      const TableFeed& feed = answer.feeds[IndexOf(table)];
      if (!schedule_.OnRelayed(table, feed.position, now))
        continue;
      Monitor(table).OnAnswer(relay_, feed.position, now);
      if (table == StoreTable::kOperator) {
        schedule_.OnConfirmed(table, begun - answer.confirmed_before.value_or(
                                                 FeedSchedule::kMaxRelayAge));
      }
      ApplyFeed(table, feed, false, now);
    }
  }

  void SetRelay(const std::string& name) {
    if (name == relay_)
      return;
    Log(LogLevel::kInfo, "relay-changed", {{"host", name}, {"before", relay_}});
    relay_ = name;
  }

  void LogRelayFailure(const FleetHost& host, const RelayAnswer& answer) {
    static constexpr std::string_view kReasons[] = {
        "done", "not-fresh", "history-lost", "no-answer"};
    Log(LogLevel::kWarning, "relay-lost",
        {{"host", host.name},
         {"reason", kReasons[static_cast<std::size_t>(answer.status)]},
         {"era", answer.era}});
    state_.context().metrics.Count(CounterName::kPeerFailures);
  }

  /// Records an era that another host or the answer to a transaction states.
  EraChange AcceptEra(std::uint64_t era, TimePoint now) {
    const std::uint64_t before = schedule_.era();
    const EraChange change = schedule_.OnEra(era, now);
    if (change == EraChange::kRestored)
      OnRestored(before, now);
    if (change == EraChange::kOutdated)
      LogOutdatedEra(era);
    LogFirstEra(before);
    return change;
  }

  void LogFirstEra(std::uint64_t before) {
    if (before == 0 && schedule_.era() != 0) {
      Log(LogLevel::kInfo, "store-era",
          {{"era", schedule_.era()}, {"before", before}});
    }
  }

  void LogOutdatedEra(std::uint64_t era) {
    Log(LogLevel::kWarning, "store-answer-of-an-older-era",
        {{"era", era}, {"known", schedule_.era()}});
  }

  void OnRestored(std::uint64_t before, TimePoint now) {
    Log(LogLevel::kWarning, "store-era",
        {{"era", schedule_.era()}, {"before", before}});
    state_.context().metrics.Count(CounterName::kTableFailures);
    rows_.OnRestored(schedule_.era(), now);
    feed_relay_.OnRestored();
    Wake(call_waiters_);
    Wake(relay_waiters_);
  }

  [[nodiscard]] TableMonitor& Monitor(StoreTable table) {
    return monitors_[IndexOf(table)];
  }

  [[nodiscard]] static std::string_view ReasonOf(TableStatus status) {
    static constexpr std::string_view kReasons[] = {
        "done", "conflict", "unavailable", "no-answer", "malformed"};
    return kReasons[static_cast<std::size_t>(status)];
  }

  void OnAnswered(StoreTable table, std::string_view source, TimePoint now) {
    store_monitor_.OnSuccess(now);
    Monitor(table).OnAnswer(std::string(source), schedule_.position(table),
                            now);
  }

  void OnFailed(StoreTable table,
                std::string_view reason,
                TimePoint begun,
                TimePoint now) {
    store_monitor_.OnFailure(reason, now);
    Monitor(table).OnFailure(reason, schedule_.position(table), begun, now);
    rows_.OnStoreFailure(begun);
    Wake(relay_waiters_);
    state_.context().metrics.Count(CounterName::kTableFailures);
  }

  void ApplyFeed(StoreTable table,
                 const TableFeed& feed,
                 bool is_snapshot,
                 TimePoint now) {
    state_.context().metrics.Count(CounterName::kTableCalls);
    feed_relay_.OnApplied(table, feed, is_snapshot);
    if (is_snapshot)
      rows_.ApplySnapshot(table, feed, schedule_.KeepsMissingRows(table), now);
    else
      rows_.ApplyChanges(table, feed, now);
    if (!rows_.has_skipped_configuration()) {
      state_.context().freshness.OnConfirmed(
          schedule_.ConfirmedAt(StoreTable::kOperator));
    }
    if (!feed.rows.empty())
      Wake(relay_waiters_);
  }

  /// Writes the row of this host, and creates the fleet's secret if there is
  /// none. Both are repeated until they appear in the table.
  [[nodiscard]] asio::awaitable<void> RegisterSelf() {
    const std::string text = EncodeFleetHost(state_.context().fleet.self());
    while (!stopped_) {
      const TableTransaction change = rows_.OwnRowsToWrite(text);
      if (!change.writes.empty())
        co_await CommitHosts(change);
      co_await Pause(rows_.has_read_hosts() ? kRegistrationCheckInterval
                                            : kListCheckInterval);
    }
  }

  [[nodiscard]] asio::awaitable<void> CommitHosts(
      const TableTransaction& change) {
    const TimePoint begun = MonotonicNow();
    const TableOutcome outcome =
        co_await store_.Commit(StoreTable::kHosts, change);
    const TimePoint now = MonotonicNow();
    const EraChange era = AcceptEra(outcome.era, now);
    if (era == EraChange::kRestored || era == EraChange::kOutdated)
      co_return;
    // Applied before the feed returns them, so that they are not written twice.
    TableFeed feed;
    if (outcome.status == TableStatus::kDone) {
      for (const TableWrite& write : change.writes) {
        feed.rows.push_back(
            {write.key, write.value.value_or(""), outcome.revision});
      }
    } else if (outcome.status == TableStatus::kConflict) {
      feed.rows = outcome.conflicts;
    } else {
      OnFailed(StoreTable::kHosts, ReasonOf(outcome.status), begun, now);
    }
    rows_.ApplyChanges(StoreTable::kHosts, feed, now);
  }

  GatewayState& state_;
  asio::io_context& io_;
  Store& store_;
  FeedSchedule schedule_;
  StoreRows<Platform> rows_;
  RelayClient relay_client_;
  FeedRelay feed_relay_;
  std::array<TableMonitor, kStoreTables> monitors_{
      TableMonitor(Name(StoreTable::kOperator)),
      TableMonitor(Name(StoreTable::kBackends)),
      TableMonitor(Name(StoreTable::kHosts))};
  DependencyMonitor store_monitor_{"store"};
  std::string relay_;     ///< Name of the relay; empty if none.
  Timers call_waiters_;   ///< Of tables until their next call.
  Timers relay_waiters_;  ///< Of calls of other hosts.
  bool stopped_ = false;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_GATEWAY_STORE_FOLLOWER_H_
