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
#include "comfreyvane/gateway/dependency_watch.h"
#include "comfreyvane/gateway/fleet_codec.h"
#include "comfreyvane/gateway/gateway_state.h"
#include "comfreyvane/gateway/relay_answer.h"
#include "comfreyvane/gateway/relay_call.h"
#include "comfreyvane/gateway/relay_client.h"
#include "comfreyvane/gateway/store_table.h"
#include "comfreyvane/net/async.h"
#include "comfreyvane/net/clock.h"
#include "comfreyvane/storage/table_feed.h"
#include "comfreyvane/storage/table_outcome.h"
#include "comfreyvane/storage/table_transaction.h"

namespace comfreyvane {

/// Follows the tables of the platform's store and puts what they say in force,
/// and lists this host there. One host of a failure domain follows the store
/// itself and passes changes on to the others; when it has not heard from the
/// store of late, the others follow the store themselves.
/// @tparam Platform with a Store and the decoding of its rows.
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
        relays_(state, io, sweeper, seed) {}

  void Start() {
    for (const StoreTable table : kAllStoreTables)
      asio::co_spawn(io_, Follow(table), asio::detached);
    asio::co_spawn(io_, FollowRelay(), asio::detached);
    asio::co_spawn(io_, ListSelf(), asio::detached);
  }

  /// Answers another host's call for changes; waits for some as the call asks.
  [[nodiscard]] asio::awaitable<RelayAnswer> PassOn(RelayCall call) {
    const TimePoint give_up = MonotonicNow() + call.wait;
    while (true) {
      const TimePoint now = MonotonicNow();
      asked_ = now;
      RelayAnswer answer = ChangesSince(call, now);
      const bool changed =
          std::any_of(answer.feeds.begin(), answer.feeds.end(),
                      [](const TableFeed& feed) { return !feed.rows.empty(); });
      if (answer.status != RelayStatus::kDone || changed || now >= give_up)
        co_return answer;
      co_await PauseUntil(give_up, relay_waiters_);
    }
  }

  /// Ends all following; calls that run end by themselves.
  void Stop() { stopped_ = true; }

  /// Takes servers out of use whose entries are gone.
  void OnTick(TimePoint now) {
    for (const std::string& key : backends_.TakeRemoved(now)) {
      history_.OnRemoved(key, now);
      state_.RemoveBackend(key, now);
    }
    history_.Prune(now);
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
  /// How long another host may hold a call for a change. Short, since a host
  /// that died is noticed by it.
  static constexpr Duration kRelayWait = std::chrono::milliseconds(1000);
  /// How long the store may hold a call while other hosts follow it through
  /// this one: its end shows that the store is still reached.
  static constexpr Duration kRelayingWait = std::chrono::milliseconds(1000);
  /// Age of the last answer of the store up to which changes are passed on: a
  /// held call and its timeout.
  static constexpr Duration kFresh = std::chrono::milliseconds(2200);
  /// Time after another host's call in which it counts as following this one.
  static constexpr Duration kFollowed = std::chrono::seconds(3);
  /// Time after another host's answer in which the store is not called: a held
  /// call and its timeout.
  static constexpr Duration kRelayTrust = std::chrono::milliseconds(1500);
  /// Time between looks for a host to follow the store through.
  static constexpr Duration kRelayCheck = std::chrono::milliseconds(250);
  /// Changes of a table that are kept for other hosts: many times those of one
  /// held call.
  static constexpr std::size_t kLogBytes = 1024 * 1024;
  /// Time after a new era of the store in which what was written before it is
  /// written again: the platform states about two seconds. Until then rows that
  /// the copy lacks stay in force.
  static constexpr Duration kRewriteTime = std::chrono::milliseconds(2500);
  /// Time between checks whether this host is listed.
  static constexpr Duration kListPause = std::chrono::milliseconds(1000);
  static constexpr std::string_view kSecretKey = "!secret";

  [[nodiscard]] asio::awaitable<void> Pause(Duration span) {
    asio::steady_timer timer(io_);
    timer.expires_after(span);
    co_await timer.async_wait(kAwait);
  }

  using Timers = std::list<asio::steady_timer*>;

  /// Waits until a time, or until the timers of the list are cancelled.
  [[nodiscard]] asio::awaitable<void> PauseUntil(TimePoint until,
                                                 Timers& timers) {
    asio::steady_timer timer(io_);
    timer.expires_after(until - MonotonicNow());
    const auto place = timers.insert(timers.end(), &timer);
    co_await timer.async_wait(kAwait);
    timers.erase(place);
  }

  static void Wake(Timers& timers) {
    for (asio::steady_timer* timer : timers)
      timer->cancel();
  }

  [[nodiscard]] Duration WaitFor(StoreTable table, TimePoint now) const {
    const TimePoint again = progress_[IndexOf(table)].read_again;
    if (again != TimePoint::max())
      return std::clamp(again - now, kFirstPause, kWait);
    if (table == StoreTable::kHosts)
      return kHostsWait;
    const bool relays = now - asked_ < kFollowed;
    return relays && table == StoreTable::kOperator ? kRelayingWait : kWait;
  }

  [[nodiscard]] Duration Jittered(Duration span) {
    return Scaled(span, 0.5 + random_.Uniform());
  }

  [[nodiscard]] asio::awaitable<void> Follow(StoreTable table) {
    Progress& progress = progress_[IndexOf(table)];
    Duration pause = kFirstPause;
    while (!stopped_) {
      const TimePoint begun = MonotonicNow();
      if (begun >= progress.read_again) {
        progress.read_again = TimePoint::max();
        progress.whole = true;
      }
      if (!progress.whole && begun < relayed_until_) {
        co_await PauseUntil(std::min(relayed_until_, progress.read_again),
                            direct_waiters_);
        continue;
      }
      const bool whole = progress.whole;
      TableFeed feed;
      if (whole)
        feed = co_await store_.Read(table);
      else
        feed = co_await store_.Follow(table, progress.position,
                                      WaitFor(table, begun));
      const TimePoint now = MonotonicNow();
      if (!TakeEra(feed.era, now))
        continue;
      if (feed.history_lost) {
        Log(LogLevel::kWarning, "history-lost",
            {{"table", static_cast<int>(table)},
             {"position", progress.position}});
        progress.whole = true;
        continue;
      }
      if (feed.status != TableStatus::kDone) {
        OnFailure(feed.status, begun, now);
        co_await PauseUntil(now + Jittered(pause), retries_);
        pause = std::min(2 * pause, kLongestPause);
        continue;
      }
      OnSuccess(now);
      pause = kFirstPause;
      if (!whole && progress.whole)
        continue;
      if (feed.position < progress.position) {
        // Older than what is known: a read of the past.
        co_await Pause(kFirstPause);
        continue;
      }
      Take(table, feed, whole, now);
      if (!feed.rows.empty())
        co_await Pause(kBatchPause);
    }
  }

  /// Follows the store through another host while there is one that serves.
  [[nodiscard]] asio::awaitable<void> FollowRelay() {
    FleetView& fleet = state_.context().fleet;
    while (!stopped_) {
      const TimePoint begun = MonotonicNow();
      const auto host = fleet.FindRelay(begun);
      if (!host || !MayFollowRelay()) {
        SetRelay({});
        co_await Pause(kRelayCheck);
        continue;
      }
      RelayCall call{0, era_, kRelayWait, {}};
      for (std::size_t i = 0; i < kStoreTables; ++i)
        call.positions[i] = progress_[i].position;
      const RelayAnswer answer = co_await relays_.Ask(*host, call);
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
      relayed_until_ = now + kRelayTrust;
      TakeRelayed(answer, now);
    }
  }

  [[nodiscard]] bool MayFollowRelay() const {
    return !state_.fleet_secret().empty() &&
           std::none_of(
               progress_.begin(), progress_.end(),
               [](const Progress& progress) { return progress.whole; });
  }

  void TakeRelayed(const RelayAnswer& answer, TimePoint now) {
    for (const StoreTable table : kAllStoreTables) {
      const TableFeed& feed = answer.feeds[IndexOf(table)];
      const Progress& progress = progress_[IndexOf(table)];
      if (!progress.whole && feed.position >= progress.position)
        Take(table, feed, false, now);
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
  ///     store itself and has heard from it of late.
  [[nodiscard]] RelayAnswer ChangesSince(const RelayCall& call,
                                         TimePoint now) const {
    RelayAnswer answer;
    const bool fresh =
        now >= relayed_until_ && !watch_.failing() && now - answered_ <= kFresh;
    if (fresh && call.era < era_)
      return {RelayStatus::kHistoryLost};
    const bool current = fresh && call.era == era_;
    answer.status = current ? RelayStatus::kDone : RelayStatus::kNotFresh;
    for (std::size_t i = 0; current && i < kStoreTables; ++i) {
      auto feed = progress_[i].log.Since(call.positions[i]);
      if (!feed)
        return {RelayStatus::kHistoryLost};
      answer.feeds[i] = std::move(*feed);
    }
    return answer;
  }

  /// Takes in the era of an answer. On a new one all tables are read anew, and
  /// again when what it lacks has been written again.
  /// @return whether the answer counts: it is of the era that was known.
  [[nodiscard]] bool TakeEra(std::uint64_t era, TimePoint now) {
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
    ReadAnew(now);
    return false;
  }

  /// Forgets how far each table is known: the store came back from a copy.
  void ReadAnew(TimePoint now) {
    state_.context().metrics.Count(CounterName::kTableFailures);
    backends_.OnStoreFailure(now);
    relayed_until_ = TimePoint{};
    copied_until_ = now + EntryHistory::kRetention;
    for (Progress& progress : progress_) {
      progress.whole = true;
      progress.position = Revision();
      progress.read_again = now + kRewriteTime;
      progress.log.Clear();
    }
    Wake(direct_waiters_);
    Wake(relay_waiters_);
  }

  void OnSuccess(TimePoint now) {
    answered_ = now;
    if (watch_.failing())
      Wake(retries_);
    watch_.OnSuccess(now);
  }

  void OnFailure(TableStatus status, TimePoint begun, TimePoint now) {
    static constexpr std::string_view kReasons[] = {
        "done", "conflict", "unavailable", "no-answer", "malformed"};
    watch_.OnFailure(kReasons[static_cast<std::size_t>(status)], now);
    backends_.OnStoreFailure(begun);
    Wake(relay_waiters_);
    state_.context().metrics.Count(CounterName::kTableFailures);
  }

  void Take(StoreTable table,
            const TableFeed& feed,
            bool whole,
            TimePoint now) {
    state_.context().metrics.Count(CounterName::kTableCalls);
    Progress& progress = progress_[IndexOf(table)];
    progress.position = feed.position;
    progress.whole = false;
    if (whole) {
      progress.log.Restart(feed.position);
      if (progress.read_again == TimePoint::max())
        DropMissing(table, feed, now);
      else if (table == StoreTable::kHosts)
        ForgetOwn(feed);
    } else {
      progress.log.Add(feed);
    }
    if (!feed.rows.empty())
      Wake(relay_waiters_);
    for (const TableRow& row : feed.rows)
      Apply(table, row, now);
    if (table == StoreTable::kHosts && (whole || !feed.rows.empty()))
      TakeHosts(now);
    if (table == StoreTable::kBackends && whole)
      Log(LogLevel::kInfo, "registry-read",
          {{"entries", feed.rows.size()}, {"position", feed.position}});
  }

  [[nodiscard]] static bool Lists(const TableFeed& feed,
                                  const std::string& key) {
    return std::any_of(feed.rows.begin(), feed.rows.end(),
                       [&key](const TableRow& row) { return row.key == key; });
  }

  void DropMissing(StoreTable table, const TableFeed& feed, TimePoint now) {
    auto& known = rows_[table];
    std::vector<std::string> missing;
    for (const auto& [key, row] : known) {
      if (!Lists(feed, key))
        missing.push_back(key);
    }
    for (const std::string& key : missing)
      Apply(table, TableRow{key, {}, Revision()}, now);
  }

  /// Forgets the rows of this host's own that a copy lacks, so that they are
  /// written again at once.
  void ForgetOwn(const TableFeed& feed) {
    const std::string& self = state_.context().settings.name;
    for (const std::string& key : {self, std::string(kSecretKey)}) {
      if (!Lists(feed, key))
        rows_[StoreTable::kHosts].erase(key);
    }
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
      if (now < copied_until_ && history_.IsOutdated(*entry)) {
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
          // The one in use is kept when the store has lost it.
          change.writes.push_back(
              {std::string(kSecretKey), state_.fleet_secret().empty()
                                            ? state_.NewSecret()
                                            : state_.fleet_secret()});
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
    if (!TakeEra(outcome.era, now))
      co_return;
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

  /// How far a table is known.
  struct Progress {
    Revision position;
    bool whole = true;  ///< All rows have to be read.
    /// When they are read again after a new era; max: not.
    TimePoint read_again = TimePoint::max();
    FeedLog log{kLogBytes};
  };

  GatewayState& state_;
  asio::io_context& io_;
  Store& store_;
  RandomSource random_;
  RelayClient relays_;
  std::array<Progress, kStoreTables> progress_;
  std::string relay_;          ///< Name of the host followed; empty: none.
  TimePoint relayed_until_{};  ///< Until then the store is not called.
  TimePoint answered_{};       ///< Last answer of the store.
  TimePoint asked_{};          ///< Last call of another host.
  std::uint64_t era_ = 0;      ///< Of the store; 0: not known.
  TimePoint copied_until_{};   ///< Entries may be those of an older copy.
  EntryHistory history_;
  RegistryTracker backends_;
  DependencyWatch watch_{"store"};
  std::map<StoreTable, std::map<std::string, TableRow>> rows_;
  Timers retries_;         ///< Of calls that wait for a repeat.
  Timers direct_waiters_;  ///< While another host is followed.
  Timers relay_waiters_;   ///< Of calls of other hosts.
  bool hosts_read_ = false;
  bool stopped_ = false;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_GATEWAY_STORE_FOLLOWER_H_
