/// @file
/// Simulated fleet of GrantManagers and LimitShards with a fake store and
/// network.
#ifndef TESTS_SUPPORT_LIMIT_FLEET_H_
#define TESTS_SUPPORT_LIMIT_FLEET_H_

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <utility>
#include <vector>

#include "comfreyvane/base/random_source.h"
#include "comfreyvane/limit/grant_manager.h"
#include "comfreyvane/limit/limit_shard.h"

namespace comfreyvane::testing {

/// Fake of the share table's row in the table service. Recognises retries by
/// their transaction id.
struct FakeShareStore {
  bool up = true;
  double reply_loss = 0;  ///< Fraction of replies lost after a commit.
  Duration latency = std::chrono::milliseconds(5);
  std::uint64_t writes = 0;
  std::uint64_t reads = 0;

  SharesOutcome Commit(const CommitShares& commit) {
    ++writes;
    const auto seen = outcomes.find(commit.transaction_id);
    if (seen != outcomes.end())
      return seen->second;
    SharesOutcome outcome{commit.transaction_id, TableStatus::kConflict, {}};
    if (commit.condition == revision) {
      revision = revision.next();
      table = commit.table;
      outcome = {commit.transaction_id, TableStatus::kDone, revision};
    }
    outcomes[commit.transaction_id] = outcome;
    return outcome;
  }

  ShareTable table;
  Revision revision;
  std::map<std::string, SharesOutcome> outcomes;
};

/// Hosts with drifting clocks that can be isolated, paused, killed, replaced
/// and stopped. Time is simulated.
class LimitFleet {
 public:
  struct Options {
    std::uint32_t hosts = 8;
    std::uint64_t seed = 1;
    LeaseTerms terms;
    Duration same_region_latency = std::chrono::milliseconds(1);
    Duration other_region_latency = std::chrono::milliseconds(20);
    std::uint32_t regions = 3;
    double clock_error = 0;  ///< Maximum relative error of a clock's rate.
    Duration membership_delay = std::chrono::milliseconds(500);
  };
  struct Host {
    bool alive = false;
    bool stopping = false;
    std::uint64_t incarnation = 0;
    TimePoint paused_until;
    Duration clock_offset{0};
    double clock_rate = 1;
    std::unique_ptr<GrantManager> manager;
    std::unique_ptr<LimitShard> shard;
    std::vector<std::function<void()>> backlog;
  };

  explicit LimitFleet(const Options& options)
      : options_(options), random_(options.seed), hosts_(options.hosts) {
    for (std::uint32_t i = 0; i < options.hosts; ++i)
      Start(i);
    UpdatePeers();
  }

  [[nodiscard]] static HostId IdOf(std::uint32_t host) {
    return HostId(1000 + host);
  }
  [[nodiscard]] TimePoint now() const { return now_; }
  [[nodiscard]] Host& host(std::uint32_t i) { return hosts_[i]; }
  [[nodiscard]] std::uint32_t size() const { return options_.hosts; }
  [[nodiscard]] FakeShareStore& store() { return store_; }
  [[nodiscard]] RandomSource& random() { return random_; }
  [[nodiscard]] std::uint32_t RegionOf(std::uint32_t host) const {
    return host % options_.regions;
  }
  [[nodiscard]] bool Usable(std::uint32_t i) const {
    return hosts_[i].alive && now_ >= hosts_[i].paused_until;
  }
  std::uint64_t messages = 0;
  double loss = 0;
  double duplication = 0;
  double replay = 0;  ///< Fraction of messages repeated within 5 s.
  /// Whether two hosts can reach each other. The store has the index size().
  std::function<bool(std::uint32_t, std::uint32_t)> connected =
      [](std::uint32_t, std::uint32_t) { return true; };

  [[nodiscard]] TimePoint LocalTime(std::uint32_t i) const {
    const Host& host = hosts_[i];
    const double elapsed = static_cast<double>(now_.time_since_epoch().count());
    return TimePoint(host.clock_offset + Duration(static_cast<std::int64_t>(
                                             elapsed * host.clock_rate)));
  }

  void Start(std::uint32_t i) {
    Host& host = hosts_[i];
    host = {};
    host.alive = true;
    host.incarnation = ++incarnations_;
    host.clock_offset = std::chrono::seconds(1 + random_.Below(5000));
    host.clock_rate = 1 + options_.clock_error * (2 * random_.Uniform() - 1);
    const Incarnation incarnation(host.incarnation);
    host.manager = std::make_unique<GrantManager>(
        GrantManager::Options{IdOf(i), incarnation,
                              FailureDomainId(100 + i % (2 * options_.regions)),
                              RegionId(100 + RegionOf(i)), options_.terms,
                              random_.Below(1U << 30U)},
        LocalTime(i));
    host.shard = std::make_unique<LimitShard>(
        LimitShard::Options{IdOf(i), incarnation, 0, options_.terms},
        LocalTime(i));
    host.shard->OnLimits(limits_, revision_, LocalTime(i));
    ScheduleTick(i, host.incarnation, Duration(random_.Below(250'000'000)));
    SchedulePeerUpdate();
  }

  void Kill(std::uint32_t i) {
    hosts_[i].alive = false;
    SchedulePeerUpdate();
  }

  void Pause(std::uint32_t i, Duration length) {
    hosts_[i].paused_until = now_ + length;
    const std::uint64_t incarnation = hosts_[i].incarnation;
    At(hosts_[i].paused_until, [this, i, incarnation] {
      if (hosts_[i].incarnation == incarnation)
        Resume(i);
    });
  }

  void Stop(std::uint32_t i) {
    if (!hosts_[i].alive)
      return;
    hosts_[i].stopping = true;
    Deliver(i, hosts_[i].incarnation, [this, i] {
      Send(i, hosts_[i].shard->Stop(LocalTime(i)));
      Perform(i, hosts_[i].manager->Stop(LocalTime(i)));
    });
    SchedulePeerUpdate();
  }

  /// Applies limits at one host, and at all hosts started later.
  void SetLimits(std::uint32_t i,
                 const std::vector<Limit>& limits,
                 Revision revision) {
    limits_ = limits;
    revision_ = revision;
    if (hosts_[i].alive)
      hosts_[i].shard->OnLimits(limits, revision, LocalTime(i));
  }

  [[nodiscard]] Admission TryTake(std::uint32_t i, LimitId limit) {
    const Admission admission =
        hosts_[i].shard->TryTake(limit, 1, LocalTime(i));
    if (admission.exchange_requested)
      Send(i, hosts_[i].shard->OnTick(LocalTime(i)));
    return admission;
  }

  void RunUntil(TimePoint until) {
    while (!events_.empty() && events_.top().at <= until) {
      now_ = std::max(now_, events_.top().at);
      const auto work = std::move(const_cast<Event&>(events_.top()).work);
      events_.pop();
      work();
    }
    now_ = until;
  }

  void At(TimePoint at, std::function<void()> work) {
    events_.push({at, ++order_, std::move(work)});
  }

  void UpdatePeers() {
    for (std::uint32_t i = 0; i < size(); ++i) {
      std::vector<PeerHost> peers;
      for (std::uint32_t j = 0; j < size(); ++j) {
        if (j != i && hosts_[j].alive && !hosts_[j].stopping)
          peers.push_back({IdOf(j), Incarnation(hosts_[j].incarnation),
                           FailureDomainId(100 + j % (2 * options_.regions)),
                           RegionId(100 + RegionOf(j))});
      }
      if (!hosts_[i].alive)
        continue;
      hosts_[i].manager->OnPeers(peers, LocalTime(i));
      hosts_[i].shard->OnPeers(peers, LocalTime(i));
    }
  }

 private:
  struct Event {
    TimePoint at;
    std::uint64_t order;
    std::function<void()> work;
    friend bool operator<(const Event& a, const Event& b) {
      return std::pair(a.at, a.order) > std::pair(b.at, b.order);
    }
  };

  void SchedulePeerUpdate() {
    At(now_ + options_.membership_delay, [this] { UpdatePeers(); });
  }

  void ScheduleTick(std::uint32_t i, std::uint64_t incarnation, Duration in) {
    At(now_ + in, [this, i, incarnation] {
      if (!hosts_[i].alive || hosts_[i].incarnation != incarnation)
        return;
      if (now_ >= hosts_[i].paused_until)
        Tick(i);
      ScheduleTick(i, incarnation, kLoanInterval);
    });
  }

  void Tick(std::uint32_t i) {
    Perform(i, hosts_[i].manager->OnTick(LocalTime(i)));
    Send(i, hosts_[i].shard->OnTick(LocalTime(i)));
  }

  void Resume(std::uint32_t i) {
    const auto backlog = std::move(hosts_[i].backlog);
    hosts_[i].backlog.clear();
    for (const auto& work : backlog)
      work();
  }

  /// Runs work on a host, after its pause if it is paused, unless the host has
  /// been replaced.
  void Deliver(std::uint32_t i,
               std::uint64_t incarnation,
               std::function<void()> work) {
    Host& host = hosts_[i];
    if (!host.alive || host.incarnation != incarnation)
      return;
    if (now_ < host.paused_until)
      host.backlog.push_back(std::move(work));
    else
      work();
  }

  void Perform(std::uint32_t i, const GrantManagerActions& actions) {
    hosts_[i].shard->OnOwnShare(hosts_[i].manager->own_share(LocalTime(i)),
                                LocalTime(i));
    for (const SendGrantMessage& send : actions.messages) {
      const auto copy = std::make_shared<const GrantMessage>(send.message);
      Transmit(i, send.to, [this, copy](std::uint32_t from, std::uint32_t to) {
        Perform(to, hosts_[to].manager->OnPeerMessage(IdOf(from), *copy,
                                                      LocalTime(to)));
      });
    }
    if (actions.commit)
      CommitToStore(i, *actions.commit);
    if (actions.read_table)
      ReadFromStore(i);
  }

  void Send(std::uint32_t i,
            const std::vector<SendLoanMessage>& messages_to_send) {
    for (const SendLoanMessage& send : messages_to_send) {
      const auto copy = std::make_shared<const LoanMessage>(send.message);
      Transmit(i, send.to, [this, copy](std::uint32_t from, std::uint32_t to) {
        Send(to,
             hosts_[to].shard->OnPeerMessage(IdOf(from), *copy, LocalTime(to)));
      });
    }
  }

  template <typename Work>
  void Transmit(std::uint32_t from, HostId to_id, Work work) {
    const auto to = static_cast<std::uint32_t>(to_id.value() - 1000);
    ++messages;
    if (!connected(from, to) || random_.Uniform() < loss)
      return;
    const Duration base = RegionOf(from) == RegionOf(to)
                              ? options_.same_region_latency
                              : options_.other_region_latency;
    const auto arrive = [this, from, to, work](Duration delay) {
      At(now_ + delay, [this, from, to, work] {
        if (connected(from, to))
          Deliver(to, hosts_[to].incarnation,
                  [from, to, work] { work(from, to); });
      });
    };
    arrive(base + base * random_.Below(100) / 400);
    if (random_.Uniform() < duplication)
      arrive(base + Duration(random_.Below(100'000'000)));
    if (random_.Uniform() < replay)
      arrive(Duration(random_.Below(5'000'000'000)));
  }

  void CommitToStore(std::uint32_t i, const CommitShares& commit) {
    const std::uint64_t incarnation = hosts_[i].incarnation;
    const auto answer = [this, i, incarnation](SharesOutcome outcome,
                                               Duration in) {
      At(now_ + in, [this, i, incarnation, outcome] {
        Deliver(i, incarnation, [this, i, outcome] {
          Perform(i, hosts_[i].manager->OnSharesOutcome(outcome, LocalTime(i)));
        });
      });
    };
    const SharesOutcome unknown{
        commit.transaction_id, TableStatus::kUnknown, {}};
    At(now_ + store_.latency, [this, i, commit, answer, unknown] {
      if (!store_.up || !connected(i, size())) {
        answer(unknown, std::chrono::milliseconds(500));
        return;
      }
      const SharesOutcome outcome = store_.Commit(commit);
      if (random_.Uniform() < store_.reply_loss)
        answer(unknown, std::chrono::milliseconds(500));
      else
        answer(outcome, store_.latency);
    });
  }

  void ReadFromStore(std::uint32_t i) {
    const std::uint64_t incarnation = hosts_[i].incarnation;
    At(now_ + store_.latency, [this, i, incarnation] {
      SharesReading reading;
      if (store_.up && connected(i, size())) {
        ++store_.reads;
        reading = {TableStatus::kDone, store_.revision, store_.table};
      }
      At(now_ + store_.latency, [this, i, incarnation, reading] {
        Deliver(i, incarnation, [this, i, reading] {
          Perform(i, hosts_[i].manager->OnSharesReading(reading, LocalTime(i)));
        });
      });
    });
  }

  Options options_;
  RandomSource random_;
  FakeShareStore store_;
  std::vector<Host> hosts_;
  std::vector<Limit> limits_;
  Revision revision_;
  TimePoint now_;
  std::uint64_t incarnations_ = 0;
  std::uint64_t order_ = 0;
  std::priority_queue<Event> events_;
};

}  // namespace comfreyvane::testing

#endif  // TESTS_SUPPORT_LIMIT_FLEET_H_
