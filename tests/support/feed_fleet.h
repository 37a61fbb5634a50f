/// @file
/// Simulation of hosts that follow the store, in virtual time.
#ifndef TESTS_SUPPORT_FEED_FLEET_H_
#define TESTS_SUPPORT_FEED_FLEET_H_

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "comfreyvane/base/random_source.h"
#include "comfreyvane/edge/configuration_freshness.h"
#include "comfreyvane/edge/feed_relay.h"
#include "comfreyvane/edge/feed_schedule.h"
#include "comfreyvane/edge/fleet_view.h"

namespace comfreyvane::testing {

/// Hosts with the decision code that follows the store, and a store with
/// faults. The operator's table has one row, whose value is a version.
class FeedFleet {
 public:
  struct Options {
    std::size_t hosts = 8;
    std::size_t domains = 6;
    std::uint64_t seed = 1;
    /// Size of the operator's row in an answer; 0: it takes no time.
    double row_bytes = 0.0;
    /// The same in the answer of a host that relays it.
    double relayed_bytes = 0.0;
    /// Bytes/s of the links of the first hosts of each failure domain, which
    /// have a larger share of a processor, and of the others.
    double fast_link = 25e6;
    double slow_link = 1.25e6;
    std::size_t fast_per_domain = 2;
    /// Time within which an accepted version must be in force.
    Duration max_age = std::chrono::milliseconds(3000);
  };

  explicit FeedFleet(const Options& options)
      : options_(options), random_(options.seed) {
    Write(1);
    for (std::size_t i = 0; i < options.hosts; ++i)
      hosts_.push_back(std::make_unique<Host>(HostAt(i)));
    for (std::size_t i = 0; i < options.hosts; ++i)
      Start(i);
  }
  FeedFleet(const FeedFleet&) = delete;
  FeedFleet& operator=(const FeedFleet&) = delete;

  /// Faults of the store.
  Duration latency = std::chrono::milliseconds(4);
  std::set<std::size_t> refused;  ///< Hosts that the store turns away.
  /// Fraction of answers after which their connections stay silent.
  double lost_answers = 0.0;

  [[nodiscard]] TimePoint now() const { return now_; }
  [[nodiscard]] std::size_t size() const { return hosts_.size(); }
  [[nodiscard]] std::uint64_t calls() const { return calls_; }
  [[nodiscard]] std::uint64_t version() const { return version_; }
  /// @return the version in force at a host.
  [[nodiscard]] std::uint64_t VersionAt(std::size_t host) const {
    return hosts_[host]->version;
  }
  [[nodiscard]] bool IsUp(std::size_t host) const { return hosts_[host]->up; }
  /// @return bytes that a host has received of large answers.
  [[nodiscard]] double ReceivedAt(std::size_t host) const {
    return hosts_[host]->received;
  }
  /// @return whether a host may send a request that is bound to regions, by
  ///     what it knows of the age of its configuration.
  [[nodiscard]] bool MaySendBound(std::size_t host) const {
    ConfigurationFreshness freshness(options_.max_age);
    freshness.OnConfirmed(
        hosts_[host]->schedule->ConfirmedAt(StoreTable::kOperator));
    return freshness.MaySendBound(now_);
  }
  [[nodiscard]] std::size_t HostsThatMaySendBound() const {
    std::size_t hosts = 0;
    for (std::size_t i = 0; i < size(); ++i)
      hosts += MaySendBound(i) ? 1 : 0;
    return hosts;
  }

  void Run(Duration span) {
    const TimePoint end = now_ + span;
    while (!events_.empty() && events_.begin()->first <= end) {
      auto event = events_.extract(events_.begin());
      now_ = event.key();
      event.mapped()();
    }
    now_ = end;
  }

  /// Writes a version; the store accepts it at once.
  void Write(std::uint64_t version) {
    version_ = version;
    store_version_ = version;
    ++revision_;
    written_[IndexOf(StoreTable::kOperator)] = revision_;
    AnswerHeld();
  }

  /// Calls that are held or begin while the store is silent are never answered.
  void SetSilent(bool silent, std::set<StoreTable> tables = AllTables()) {
    for (const StoreTable table : tables)
      silent_[IndexOf(table)] = silent;
    if (!silent)
      return;
    std::erase_if(
        held_, [&](const Held& held) { return tables.contains(held.table); });
  }

  /// Restores an older copy. Its revisions are given out again.
  void Restore(std::uint64_t revisions_back, std::uint64_t version) {
    ++era_;
    revision_ -= std::min(revision_, revisions_back);
    store_version_ = version;
    for (std::uint64_t& revision : written_)
      revision = std::min(revision, revision_);
  }
  /// Discards the history of changes.
  void Compact() { oldest_ = revision_; }
  /// Writes rows that do not matter here.
  void Touch(int times) {
    for (int i = 0; i < times; ++i)
      written_[IndexOf(StoreTable::kBackends)] = ++revision_;
    AnswerHeld();
  }

  void Kill(std::size_t host) {
    Host& one = *hosts_[host];
    one.up = false;
    ++one.incarnation;
    std::erase_if(held_,
                  [host](const Held& held) { return held.host == host; });
    std::erase_if(transfers_, [host](const Transfer& transfer) {
      return transfer.host == host || transfer.source == host;
    });
  }
  void Restart(std::size_t host) {
    Kill(host);
    Start(host);
  }
  /// A frozen host answers no calls, and continues its own afterwards.
  void SetFrozen(std::size_t host, bool frozen) {
    hosts_[host]->frozen = frozen;
    if (!frozen)
      Step(host);
  }

 private:
  struct Host {
    explicit Host(FleetHost self) : entry(std::move(self)) {}

    FleetHost entry;
    bool up = false;
    bool frozen = false;
    std::uint64_t incarnation = 0;
    std::unique_ptr<FeedSchedule> schedule{};
    std::unique_ptr<FeedRelay> relay{};
    std::unique_ptr<FleetView> fleet{};
    std::uint64_t version = 0;
    bool calls_relay = false;
    TimePoint relay_call_begun{};
    std::array<TimePoint, kStoreTables> wakes{};
    double received = 0.0;
    /// Transfers of answers of the store, by call.
    std::map<std::uint64_t, std::uint64_t> transfers{};
  };
  /// A large answer that is under way to a host.
  struct Transfer {
    std::size_t host;
    std::size_t source;  ///< A host, or kStore.
    std::uint64_t id;
    double bytes_left;
    std::function<void()> on_end;
    std::function<void()> on_progress;
  };
  /// A call that the store holds.
  struct Held {
    std::size_t host;
    std::uint64_t incarnation;
    StoreTable table;
    FeedCall call;
  };

  static constexpr std::size_t kStore = SIZE_MAX;
  static constexpr Duration kTransferStep = std::chrono::milliseconds(20);
  static constexpr Duration kHostLatency = std::chrono::milliseconds(1);
  static constexpr Duration kRegionLatency = std::chrono::milliseconds(20);
  static constexpr Duration kCallTimeout = std::chrono::milliseconds(1000);
  static constexpr Duration kRelayMargin = std::chrono::milliseconds(300);
  static constexpr Duration kRelayCheckInterval =
      std::chrono::milliseconds(250);
  static constexpr Duration kPollInterval = std::chrono::milliseconds(50);
  static constexpr Duration kHeartbeatInterval = std::chrono::milliseconds(600);

  [[nodiscard]] static std::set<StoreTable> AllTables() {
    return {kAllStoreTables.begin(), kAllStoreTables.end()};
  }

  [[nodiscard]] FleetHost HostAt(std::size_t i) const {
    const std::size_t domain = i % options_.domains;
    return {"host-" + std::to_string(i),
            "region-" + std::to_string(domain / 2),
            "domain-" + std::to_string(domain),
            "a",
            "b",
            1,
            IsFast(i) ? 0.5 : 0.1};
  }
  [[nodiscard]] bool IsFast(std::size_t host) const {
    return host / options_.domains < options_.fast_per_domain;
  }
  [[nodiscard]] double LinkOf(std::size_t host) const {
    return IsFast(host) ? options_.fast_link : options_.slow_link;
  }

  /// Carries an answer to a host over links that others use as well.
  /// @return the identifier of the transfer; 0 if it has ended at once.
  std::uint64_t Transmit(std::size_t host,
                         std::size_t source,
                         double bytes,
                         std::function<void()> on_end,
                         std::function<void()> on_progress) {
    if (bytes <= 0.0) {
      on_end();
      return 0;
    }
    if (transfers_.empty())
      At(now_ + kTransferStep, [this] { StepTransfers(); });
    transfers_.push_back({host, source, ++last_transfer_, bytes,
                          std::move(on_end), std::move(on_progress)});
    return last_transfer_;
  }

  void StepTransfers() {
    std::map<std::size_t, int> down;
    std::map<std::size_t, int> up;
    for (const Transfer& transfer : transfers_) {
      ++down[transfer.host];
      ++up[transfer.source];
    }
    const double seconds = std::chrono::duration<double>(kTransferStep).count();
    std::vector<std::function<void()>> ended;
    std::erase_if(transfers_, [&](Transfer& transfer) {
      double rate = LinkOf(transfer.host) / down[transfer.host];
      if (transfer.source != kStore)
        rate = std::min(rate, LinkOf(transfer.source) / up[transfer.source]);
      hosts_[transfer.host]->received += rate * seconds;
      transfer.bytes_left -= rate * seconds;
      transfer.on_progress();
      if (transfer.bytes_left > 0.0)
        return false;
      ended.push_back(std::move(transfer.on_end));
      return true;
    });
    for (const auto& on_end : ended)
      on_end();
    if (!transfers_.empty())
      At(now_ + kTransferStep, [this] { StepTransfers(); });
  }

  [[nodiscard]] double BytesOf(StoreTable table, const TableFeed& feed) const {
    return table == StoreTable::kOperator && !feed.rows.empty()
               ? options_.row_bytes
               : 0.0;
  }

  void At(TimePoint at, std::function<void()> event) {
    events_.emplace(std::max(at, now_), std::move(event));
  }
  /// Runs a function of a host unless it has been restarted meanwhile.
  void ForHost(std::size_t host, TimePoint at, std::function<void()> event) {
    const std::uint64_t incarnation = hosts_[host]->incarnation;
    At(at, [this, host, incarnation, event = std::move(event)] {
      if (hosts_[host]->up && hosts_[host]->incarnation == incarnation)
        event();
    });
  }

  void Start(std::size_t host) {
    Host& one = *hosts_[host];
    one.up = true;
    one.frozen = false;
    ++one.incarnation;
    one.schedule = std::make_unique<FeedSchedule>(random_.Below(1U << 30U));
    one.relay = std::make_unique<FeedRelay>();
    one.fleet = std::make_unique<FleetView>(one.entry);
    one.version = 0;
    one.calls_relay = false;
    std::vector<FleetHost> all;
    for (const auto& each : hosts_)
      all.push_back(each->entry);
    one.fleet->OnListed(all, now_);
    const Duration offset =
        Scaled(std::chrono::milliseconds(300), random_.Uniform());
    ForHost(host, now_ + offset, [this, host] { Step(host); });
    ForHost(host, now_ + offset, [this, host] { FollowRelay(host); });
    ForHost(host, now_, [this, host] { BeatHeart(host); });
  }

  /// Reports a host as alive to those that may follow the store through it.
  void BeatHeart(std::size_t host) {
    Host& one = *hosts_[host];
    for (const auto& other : hosts_) {
      if (!one.frozen && other->fleet != nullptr)
        other->fleet->OnHeartbeat(one.entry.id(), false, now_);
    }
    ForHost(host, now_ + kHeartbeatInterval, [this, host] { BeatHeart(host); });
  }

  /// Begins the calls of a host that are due.
  void Step(std::size_t host) {
    Host& one = *hosts_[host];
    if (!one.up || one.frozen)
      return;
    for (const StoreTable table : kAllStoreTables) {
      const TimePoint due = one.schedule->NextCallAt(table, now_);
      TimePoint& wake = one.wakes[IndexOf(table)];
      if (due <= now_) {
        Send(host, table, one.schedule->Begin(table, now_));
        ForHost(host, now_, [this, host] { Step(host); });
      } else if (wake <= now_ || due < wake) {
        wake = due;
        ForHost(host, due, [this, host] { Step(host); });
      }
    }
  }

  void Send(std::size_t host, StoreTable table, const FeedCall& call) {
    ++calls_;
    const std::uint64_t incarnation = hosts_[host]->incarnation;
    TableFeed no_answer;
    no_answer.status = TableStatus::kUnknown;
    ForHost(host, now_ + call.wait + kCallTimeout,
            [this, host, table, call, no_answer] {
              // The deadline of an answer that is arriving is extended.
              if (!hosts_[host]->transfers.contains(call.id))
                Receive(host, table, call, no_answer);
            });
    At(now_ + kRegionLatency,
       [this, held = Held{host, incarnation, table, call}] { Arrive(held); });
  }

  void Arrive(const Held& held) {
    if (silent_[IndexOf(held.table)])
      return;
    TableFeed refusal;
    if (refused.contains(held.host)) {
      refusal.era = era_;
      Reply(held, refusal);
    } else if (!held.call.is_snapshot &&
               (held.call.position.value() < oldest_ ||
                held.call.position.value() > revision_)) {
      refusal.era = era_;
      refusal.history_lost = true;
      Reply(held, refusal);
    } else if (held.call.is_snapshot || HasChanged(held) ||
               held.call.wait <= Duration::zero()) {
      Answer(held);
    } else {
      held_.push_back(held);
      At(now_ + held.call.wait, [this, held] {
        const auto found = std::ranges::find_if(held_, [&](const Held& each) {
          return each.host == held.host && each.call.id == held.call.id &&
                 each.incarnation == held.incarnation;
        });
        if (found == held_.end())
          return;
        held_.erase(found);
        Answer(held);
      });
    }
  }

  [[nodiscard]] bool HasChanged(const Held& held) const {
    return written_[IndexOf(held.table)] > held.call.position.value();
  }

  void AnswerHeld() {
    std::vector<Held> changed;
    std::erase_if(held_, [&](const Held& held) {
      if (HasChanged(held))
        changed.push_back(held);
      return HasChanged(held);
    });
    for (const Held& held : changed)
      Answer(held);
  }

  void Answer(const Held& held) {
    TableFeed feed;
    feed.status = TableStatus::kDone;
    feed.position = Revision(revision_);
    feed.era = era_;
    const std::uint64_t written = written_[IndexOf(held.table)];
    if (held.call.is_snapshot || HasChanged(held)) {
      const std::string value = held.table == StoreTable::kOperator
                                    ? std::to_string(store_version_)
                                    : "";
      feed.rows.push_back(
          {"row", value, Revision(std::max<std::uint64_t>(1, written))});
    }
    if (random_.Uniform() >= lost_answers)
      Reply(held, feed);
  }

  void Reply(const Held& held, const TableFeed& feed) {
    ForHost(held.host, now_ + latency + kRegionLatency, [this, held, feed] {
      Host& host = *hosts_[held.host];
      if (host.incarnation != held.incarnation)
        return;
      const auto receive = [this, held, feed] {
        hosts_[held.host]->transfers.erase(held.call.id);
        Receive(held.host, held.table, held.call, feed);
      };
      if (const std::uint64_t transfer =
              Transmit(held.host, kStore, BytesOf(held.table, feed), receive,
                       [this, held] {
                         hosts_[held.host]->schedule->OnProgress(
                             held.table, held.call, now_);
                       }))
        host.transfers[held.call.id] = transfer;
    });
  }

  void Receive(std::size_t host,
               StoreTable table,
               const FeedCall& call,
               const TableFeed& feed) {
    Host& one = *hosts_[host];
    if (one.frozen) {
      ForHost(host, now_ + kRelayCheckInterval,
              [=, this] { Receive(host, table, call, feed); });
      return;
    }
    const FeedVerdict verdict = one.schedule->OnAnswer(table, call, feed, now_);
    if (verdict == FeedVerdict::kNewEra)
      one.relay->OnRestored();
    if (verdict == FeedVerdict::kApplySnapshot ||
        verdict == FeedVerdict::kApplyChanges)
      Apply(one, table, feed, call.is_snapshot);
    Step(host);
  }

  void Apply(Host& host,
             StoreTable table,
             const TableFeed& feed,
             bool is_snapshot) {
    host.relay->OnApplied(table, feed, is_snapshot);
    if (table != StoreTable::kOperator)
      return;
    for (const TableRow& row : feed.rows)
      host.version =
          std::max<std::uint64_t>(host.version, std::stoull(row.value));
  }

  void FollowRelay(std::size_t host) {
    Host& one = *hosts_[host];
    const auto again = [this, host](TimePoint at) {
      ForHost(host, at, [this, host] { FollowRelay(host); });
    };
    const auto relay = one.schedule->IsCutOff(now_)
                           ? one.fleet->FindAnyRelay(now_)
                           : one.fleet->FindRelay(now_);
    if (one.frozen || !relay || !one.schedule->MayFollowRelay()) {
      again(now_ + kRelayCheckInterval);
      return;
    }
    one.relay_call_begun = now_;
    RelayCall call{0, one.schedule->era(), FeedSchedule::kMaxRelayWait, {}};
    for (const StoreTable table : kAllStoreTables)
      call.positions[IndexOf(table)] = one.schedule->position(table);
    const std::size_t number = std::stoul(relay->name.substr(5));
    const bool is_near = relay->failure_domain == one.entry.failure_domain;
    AskRelay(host, number, call, now_, now_ + call.wait + kRelayMargin,
             is_near ? kHostLatency : kRegionLatency);
  }

  /// Asks a relay periodically for what it would answer.
  /// @param begun start of the call.
  void AskRelay(std::size_t host,
                std::size_t relay,
                const RelayCall& call,
                TimePoint begun,
                TimePoint deadline,
                Duration one_way) {
    Host& other = *hosts_[relay];
    RelayAnswer answer;
    if (other.up && !other.frozen) {
      other.schedule->OnFollower(now_);
      if (call.era > other.schedule->era() &&
          other.schedule->OnEra(call.era, now_) == EraChange::kRestored) {
        other.relay->OnRestored();
        Step(relay);
      }
      answer = other.relay->AnswerTo(call, *other.schedule, now_);
      const bool changed = std::ranges::any_of(
          answer.feeds,
          [](const TableFeed& feed) { return !feed.rows.empty(); });
      answer.confirmed_before =
          begun - other.schedule->ConfirmedAt(StoreTable::kOperator);
      if (answer.status == RelayStatus::kDone && !changed &&
          now_ < begun + call.wait) {
        ForHost(host, now_ + kPollInterval, [=, this] {
          AskRelay(host, relay, call, begun, deadline, one_way);
        });
        return;
      }
    } else if (other.up) {
      // A frozen host does not answer until the deadline.
      ForHost(host, deadline,
              [=, this] { OnRelayAnswer(host, relay, call, RelayAnswer{}); });
      return;
    }
    const bool has_row =
        !answer.feeds[IndexOf(StoreTable::kOperator)].rows.empty();
    const double bytes = has_row ? options_.relayed_bytes : 0.0;
    ForHost(host, now_ + 2 * one_way, [=, this] {
      Transmit(
          host, relay, bytes,
          [=, this] { OnRelayAnswer(host, relay, call, answer); },
          [=, this] { hosts_[host]->schedule->OnRelayProgress(now_); });
    });
  }

  void OnRelayAnswer(std::size_t host,
                     std::size_t relay,
                     const RelayCall& call,
                     const RelayAnswer& answer) {
    Host& one = *hosts_[host];
    const FleetHost& entry = hosts_[relay]->entry;
    TimePoint next = now_;
    if (answer.era > one.schedule->era() &&
        one.schedule->OnEra(answer.era, now_) == EraChange::kRestored)
      one.relay->OnRestored();
    if (call.era == one.schedule->era()) {
      if (answer.status == RelayStatus::kDone) {
        one.fleet->OnRelayed(entry.id());
        for (const StoreTable table : kAllStoreTables) {
          const TableFeed& feed = answer.feeds[IndexOf(table)];
          if (one.schedule->OnRelayed(table, feed.position, now_))
            Apply(one, table, feed, false);
        }
        one.schedule->OnConfirmed(
            StoreTable::kOperator,
            one.relay_call_begun -
                answer.confirmed_before.value_or(FeedSchedule::kMaxRelayAge));
      } else {
        one.fleet->OnRelayFailed(entry.id(), now_);
        one.schedule->OnRelayLost(now_);
        if (entry.failure_domain != one.entry.failure_domain)
          next = now_ + kRelayCheckInterval;
      }
    }
    Step(host);
    ForHost(host, next + kHostLatency, [this, host] { FollowRelay(host); });
  }

  Options options_;
  RandomSource random_;
  TimePoint now_{std::chrono::seconds(10)};
  std::multimap<TimePoint, std::function<void()>> events_;
  std::vector<std::unique_ptr<Host>> hosts_;
  std::vector<Held> held_;
  std::vector<Transfer> transfers_;
  std::uint64_t last_transfer_ = 0;
  std::array<bool, kStoreTables> silent_{};
  std::array<std::uint64_t, kStoreTables> written_{};
  std::uint64_t revision_ = 100;
  std::uint64_t oldest_ = 0;
  std::uint64_t era_ = 1;
  std::uint64_t version_ = 0;        ///< That the operator wrote last.
  std::uint64_t store_version_ = 0;  ///< That the store holds.
  std::uint64_t calls_ = 0;
};

}  // namespace comfreyvane::testing

#endif  // TESTS_SUPPORT_FEED_FLEET_H_
