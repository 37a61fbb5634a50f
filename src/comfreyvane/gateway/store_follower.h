/// @file
/// Follows the tables of the platform's store.
#ifndef COMFREYVANE_GATEWAY_STORE_FOLLOWER_H_
#define COMFREYVANE_GATEWAY_STORE_FOLLOWER_H_

#include <algorithm>
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
#include "comfreyvane/edge/registry_tracker.h"
#include "comfreyvane/gateway/dependency_watch.h"
#include "comfreyvane/gateway/fleet_codec.h"
#include "comfreyvane/gateway/gateway_state.h"
#include "comfreyvane/gateway/store_table.h"
#include "comfreyvane/net/async.h"
#include "comfreyvane/net/clock.h"
#include "comfreyvane/storage/table_feed.h"
#include "comfreyvane/storage/table_outcome.h"
#include "comfreyvane/storage/table_transaction.h"

namespace comfreyvane {

/// Follows the tables of the platform's store and puts what they say in force,
/// and lists this host there.
/// @tparam Platform with a Store and the decoding of its rows.
template <typename Platform>
class StoreFollower {
 public:
  using Store = typename Platform::Store;

  StoreFollower(GatewayState& state,
                asio::io_context& io,
                Store& store,
                std::uint64_t seed)
      : state_(state), io_(io), store_(store), random_(seed) {}

  void Start() {
    asio::co_spawn(io_, Follow(StoreTable::kOperator), asio::detached);
    asio::co_spawn(io_, Follow(StoreTable::kBackends), asio::detached);
    asio::co_spawn(io_, Follow(StoreTable::kHosts), asio::detached);
    asio::co_spawn(io_, ListSelf(), asio::detached);
  }

  /// Ends all following; calls that run end by themselves.
  void Stop() { stopped_ = true; }

  /// Takes servers out of use whose entries are gone.
  void OnTick(TimePoint now) {
    for (const std::string& key : backends_.TakeGone(now))
      state_.RemoveBackend(key, now);
  }

 private:
  /// How long the store may hold a call for a change. Its end shows that the
  /// connection has gone silent.
  static constexpr Duration kWait = std::chrono::seconds(4);
  /// The same for the list of hosts, which tells little that is urgent: hosts
  /// are heard by their heartbeats.
  static constexpr Duration kHostsWait = std::chrono::seconds(20);
  /// Pause after changes, so that those that follow come in one answer. Short
  /// against the bounds on leaving servers and on configuration, 2.5 s.
  static constexpr Duration kBatchPause = std::chrono::milliseconds(350);
  /// Pause after a failed call; doubles with each in a row.
  static constexpr Duration kFirstPause = std::chrono::milliseconds(100);
  static constexpr Duration kLongestPause = std::chrono::milliseconds(400);
  /// Time between checks whether this host is listed.
  static constexpr Duration kListPause = std::chrono::milliseconds(1000);
  static constexpr std::string_view kSecretKey = "!secret";

  [[nodiscard]] asio::awaitable<void> Pause(Duration span) {
    asio::steady_timer timer(io_);
    timer.expires_after(span);
    co_await timer.async_wait(kAwait);
  }

  [[nodiscard]] static Duration WaitFor(StoreTable table) {
    return table == StoreTable::kHosts ? kHostsWait : kWait;
  }

  [[nodiscard]] Duration Jittered(Duration span) {
    return Duration(static_cast<Duration::rep>(
        static_cast<double>(span.count()) * (0.5 + random_.Uniform())));
  }

  [[nodiscard]] asio::awaitable<void> Follow(StoreTable table) {
    Revision position;
    bool whole = true;
    Duration pause = kFirstPause;
    while (!stopped_) {
      const TimePoint begun = MonotonicNow();
      TableFeed feed;
      if (whole)
        feed = co_await store_.Read(table);
      else
        feed = co_await store_.Follow(table, position, WaitFor(table));
      const TimePoint now = MonotonicNow();
      if (feed.history_lost) {
        Log(LogLevel::kWarning, "history-lost",
            {{"table", static_cast<int>(table)}, {"position", position}});
        whole = true;
        continue;
      }
      if (feed.status != TableStatus::kDone) {
        OnFailure(feed.status, begun, now);
        co_await PauseForRetry(Jittered(pause));
        pause = std::min(2 * pause, kLongestPause);
        continue;
      }
      OnSuccess(now);
      pause = kFirstPause;
      if (feed.position < position) {
        // Older than what is known: a read of the past.
        co_await Pause(kFirstPause);
        continue;
      }
      Take(table, feed, whole, now);
      position = feed.position;
      whole = false;
      if (!feed.rows.empty())
        co_await Pause(kBatchPause);
    }
  }

  /// Waits before a repeat, or until another call succeeds.
  [[nodiscard]] asio::awaitable<void> PauseForRetry(Duration span) {
    asio::steady_timer timer(io_);
    timer.expires_after(span);
    const auto place = retries_.insert(retries_.end(), &timer);
    co_await timer.async_wait(kAwait);
    retries_.erase(place);
  }

  void OnSuccess(TimePoint now) {
    if (watch_.failing()) {
      for (asio::steady_timer* timer : retries_)
        timer->cancel();
    }
    watch_.OnSuccess(now);
  }

  void OnFailure(TableStatus status, TimePoint begun, TimePoint now) {
    static constexpr std::string_view kReasons[] = {
        "done", "conflict", "unavailable", "no-answer", "malformed"};
    watch_.OnFailure(kReasons[static_cast<std::size_t>(status)], now);
    backends_.OnStoreFailure(begun);
    state_.context().metrics.Count(CounterName::kTableFailures);
  }

  void Take(StoreTable table,
            const TableFeed& feed,
            bool whole,
            TimePoint now) {
    state_.context().metrics.Count(CounterName::kTableCalls);
    if (whole)
      DropMissing(table, feed, now);
    for (const TableRow& row : feed.rows)
      Apply(table, row, now);
    if (table == StoreTable::kHosts && (whole || !feed.rows.empty()))
      TakeHosts(now);
    if (table == StoreTable::kBackends && whole)
      Log(LogLevel::kInfo, "registry-read",
          {{"entries", feed.rows.size()}, {"position", feed.position}});
  }

  void DropMissing(StoreTable table, const TableFeed& feed, TimePoint now) {
    auto& known = rows_[table];
    std::vector<std::string> missing;
    for (const auto& [key, row] : known) {
      const bool listed =
          std::any_of(feed.rows.begin(), feed.rows.end(),
                      [&key = key](const TableRow& r) { return r.key == key; });
      if (!listed)
        missing.push_back(key);
    }
    for (const std::string& key : missing)
      Apply(table, TableRow{key, {}, Revision()}, now);
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
    else if (row.key == kSecretKey && !deleted)
      state_.SetFleetSecret(row.value);
  }

  void ApplyOperator(const TableRow& row, bool deleted, TimePoint now) {
    const auto decoded = Platform::DecodeOperatorRow(row);
    using Table = std::shared_ptr<const RouteTable>;
    if (const auto* table = std::get_if<Table>(&decoded)) {
      if (!deleted)
        state_.PutInForce(*table, now);
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
      backends_.OnListed(row.key);
      state_.UpsertBackend(*entry, now);
      return;
    }
    SkipRow(row, Name(std::get<1>(decoded)));
    // What was listed under this key before is not to be used either.
    backends_.OnDeleted(row.key, now);
  }

  void SkipRow(const TableRow& row, std::string_view reason) {
    state_.context().metrics.Count(CounterName::kSkippedRows);
    Log(LogLevel::kWarning, "row-skipped",
        {{"row", row.key}, {"revision", row.revision}, {"reason", reason}});
  }

  void TakeHosts(TimePoint now) {
    std::vector<FleetHost> hosts;
    for (const auto& [key, row] : rows_[StoreTable::kHosts]) {
      if (key == kSecretKey)
        continue;
      if (auto host = ParseFleetHost(row.value))
        hosts.push_back(std::move(*host));
      else
        SkipRow(row, "not-a-host");
    }
    state_.SetHosts(hosts, now);
    hosts_read_ = true;
  }

  /// Lists this host, and makes the fleet's secret where there is none. Both
  /// are repeated until a read shows them.
  [[nodiscard]] asio::awaitable<void> ListSelf() {
    const FleetHost self = state_.context().fleet.self();
    const std::string text = FleetHostText(self);
    while (!stopped_) {
      if (hosts_read_ && !state_.context().leaving) {
        const auto& hosts = rows_[StoreTable::kHosts];
        TableTransaction change;
        const auto own = hosts.find(self.name);
        if (own == hosts.end() || own->second.value != text)
          change.writes.push_back({self.name, text});
        if (!hosts.contains(std::string(kSecretKey))) {
          change.conditions.push_back({std::string(kSecretKey), Revision()});
          change.writes.push_back(
              {std::string(kSecretKey), state_.NewSecret()});
        }
        if (!change.writes.empty())
          co_await CommitHosts(change);
      }
      co_await Pause(hosts_read_ ? kListPause : kFirstPause);
    }
  }

  [[nodiscard]] asio::awaitable<void> CommitHosts(
      const TableTransaction& change) {
    const TimePoint begun = MonotonicNow();
    const TableOutcome outcome =
        co_await store_.Commit(StoreTable::kHosts, change);
    const TimePoint now = MonotonicNow();
    if (outcome.status == TableStatus::kDone) {
      // The feed brings the rows; they are not written again until then.
      for (const TableWrite& write : change.writes)
        Apply(StoreTable::kHosts,
              {write.key, write.value.value_or(""), outcome.revision}, now);
      TakeHosts(now);
    } else if (outcome.status == TableStatus::kConflict) {
      for (const TableRow& row : outcome.conflicts)
        Apply(StoreTable::kHosts, row, now);
    } else {
      OnFailure(outcome.status, begun, now);
    }
  }

  GatewayState& state_;
  asio::io_context& io_;
  Store& store_;
  RandomSource random_;
  RegistryTracker backends_;
  DependencyWatch watch_{"store"};
  std::map<StoreTable, std::map<std::string, TableRow>> rows_;
  std::list<asio::steady_timer*> retries_;  ///< That wait for a repeat.
  bool hosts_read_ = false;
  bool stopped_ = false;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_GATEWAY_STORE_FOLLOWER_H_
