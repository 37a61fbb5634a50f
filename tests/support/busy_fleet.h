/// @file
/// Simulation of hosts whose backend servers are busy, in virtual time.
#ifndef TESTS_SUPPORT_BUSY_FLEET_H_
#define TESTS_SUPPORT_BUSY_FLEET_H_

#include <algorithm>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "comfreyvane/base/random_source.h"
#include "comfreyvane/edge/backend_state.h"
#include "comfreyvane/edge/path_monitor.h"
#include "comfreyvane/edge/server_silence.h"

namespace comfreyvane::testing {

/// Hosts that share backend servers with slots and queues. Each failure domain
/// has two servers, one of each service. Probes wait for slots like requests.
/// Hosts know the load of servers from answers, and each other's requests from
/// messages. Links can be cut.
class BusyFleet {
 public:
  struct Options {
    std::size_t hosts = 8;
    /// Requests/s of all hosts at each server, as a share of what it can do.
    double load = 0.3;
    std::uint64_t seed = 1;
  };
  enum class Cut {
    kNone,
    kHang,  ///< Connects fail, open connections are silent.
    kDead,  ///< Connects succeed, all connections are silent.
  };

  static constexpr std::size_t kDomains = 6;

  explicit BusyFleet(const Options& options)
      : options_(options),
        random_(options.seed),
        loads_(kDomains, options.load),
        servers_(kDomains * kServices) {
    for (std::size_t i = 0; i < options.hosts; ++i) {
      hosts_.push_back(std::make_unique<Host>());
      Start(*hosts_.back());
      At(now_ + Spread(kTick), [this, i] { Tick(i); });
      At(now_ + Spread(kReportPeriod), [this, i] { Report(i); });
    }
    for (std::size_t i = 0; i < servers_.size(); ++i)
      Arrive(i);
  }
  BusyFleet(const BusyFleet&) = delete;
  BusyFleet& operator=(const BusyFleet&) = delete;

  [[nodiscard]] TimePoint now() const { return now_; }

  void Run(Duration span) {
    const TimePoint end = now_ + span;
    while (!events_.empty() && events_.begin()->first <= end) {
      auto event = events_.extract(events_.begin());
      now_ = event.key();
      event.mapped()();
    }
    now_ = end;
  }

  /// Sets the load of a failure domain's servers.
  void SetLoad(std::size_t domain, double load) { loads_[domain] = load; }
  /// Makes requests that a failure domain's servers begin take longer.
  void SetSlow(std::size_t domain, double factor) {
    slow_domain_ = domain;
    slow_factor_ = factor;
  }
  /// Cuts a host from the servers of a failure domain.
  void SetCut(std::size_t host, std::size_t domain, Cut cut) {
    hosts_[host]->cuts[domain] = cut;
  }
  /// Makes a host send half of the requests at a failure domain.
  void SetHomeOf(std::size_t domain, std::size_t host) {
    homes_[domain] = host;
  }
  /// Restarts a host, which forgets all that it knows.
  void Restart(std::size_t host) {
    ++hosts_[host]->incarnation;
    Start(*hosts_[host]);
  }

  /// @return when a host has lost its path to a failure domain first; nothing
  ///     if it has not.
  [[nodiscard]] std::optional<TimePoint> LostAt(std::size_t host,
                                                std::size_t domain) const {
    const auto& lost = hosts_[host]->lost;
    const auto found = lost.find(PathGroup::Of(FailureDomainId(domain)));
    return found == lost.end() ? std::nullopt : std::optional(found->second);
  }
  /// @return whether a host reaches a failure domain's servers.
  [[nodiscard]] bool Reaches(std::size_t host, std::size_t domain) const {
    return hosts_[host]->paths->ReachOf(IdOf(domain * kServices)) ==
           ServerReach::kDirect;
  }
  /// @return the groups that a host has lost so far.
  [[nodiscard]] std::size_t LossesOf(std::size_t host) const {
    return hosts_[host]->lost.size();
  }
  /// @return requests that were given up while they waited or ran at a server.
  [[nodiscard]] std::size_t abandoned() const { return abandoned_; }
  /// @return the longest time for which a host had no answer of a server that
  ///     worked for it.
  [[nodiscard]] Duration longest_silence() const { return longest_silence_; }
  [[nodiscard]] std::size_t answers() const { return answers_; }

 private:
  static constexpr std::size_t kServices = 2;
  static constexpr std::uint32_t kSlots = 4;
  static constexpr std::size_t kQueue = 12;
  static constexpr Duration kMeanWork = std::chrono::milliseconds(900);
  static constexpr Duration kProbeWork = std::chrono::milliseconds(1);
  static constexpr Duration kTick = std::chrono::milliseconds(50);
  static constexpr Duration kReportPeriod = std::chrono::milliseconds(500);
  static constexpr Duration kHop = std::chrono::milliseconds(10);
  static constexpr Duration kTimeout = std::chrono::milliseconds(2500);
  static constexpr Duration kConnectTimeout = std::chrono::milliseconds(300);

  struct Host {
    std::uint64_t incarnation = 0;
    std::unique_ptr<PathMonitor> paths;
    std::vector<BackendState> states;
    std::set<std::uint64_t> running;
    std::map<std::size_t, Cut> cuts;  ///< By failure domain.
    std::map<PathGroup, TimePoint> lost;
  };

  struct Request {
    std::size_t host = 0;
    std::uint64_t incarnation = 0;
    std::size_t server = 0;
    bool is_probe = false;
    bool is_working = false;  ///< Waits or runs at the server.
    TimePoint sent{};
  };

  struct Server {
    std::uint32_t in_use = 0;
    std::deque<std::uint64_t> queue;
  };

  static BackendServerId IdOf(std::size_t server) {
    return BackendServerId(1000 + server);
  }
  static std::size_t DomainOf(std::size_t server) { return server / kServices; }

  void At(TimePoint time, std::function<void()> action) {
    events_.emplace(time, std::move(action));
  }
  [[nodiscard]] Duration Spread(Duration most) {
    return Scaled(most, random_.Uniform());
  }

  void Start(Host& host) {
    host.paths = std::make_unique<PathMonitor>();
    host.states.clear();
    host.running.clear();
    for (std::size_t i = 0; i < servers_.size(); ++i) {
      host.paths->OnListed(IdOf(i), ServiceId(i % kServices),
                           FailureDomainId(DomainOf(i)));
      BackendEntry entry;
      entry.slots = kSlots;
      host.states.emplace_back(entry, now_);
    }
  }

  [[nodiscard]] Cut CutOf(std::size_t host, std::size_t server) const {
    const auto found = hosts_[host]->cuts.find(DomainOf(server));
    return found == hosts_[host]->cuts.end() ? Cut::kNone : found->second;
  }

  /// Sends a request of some host to a server, and plans the next one.
  void Arrive(std::size_t server) {
    const double capacity =
        kSlots / std::chrono::duration<double>(kMeanWork).count();
    const double rate = capacity * loads_[DomainOf(server)];
    const auto gap = Scaled(std::chrono::seconds(1),
                            2.0 * random_.Uniform() / std::max(0.01, rate));
    At(now_ + gap, [this, server] { Arrive(server); });
    std::size_t host = random_.Below(hosts_.size());
    const auto home = homes_.find(DomainOf(server));
    if (home != homes_.end() && random_.Uniform() < 0.5)
      host = home->second;
    if (hosts_[host]->paths->ReachOf(IdOf(server)) == ServerReach::kDirect)
      Send(host, server);
  }

  void Send(std::size_t number, std::size_t server) {
    Host& host = *hosts_[number];
    const std::uint64_t id = ++last_id_;
    requests_[id] = {number, host.incarnation, server, false, false, now_};
    host.states[server].OnStarted(now_);
    host.running.insert(id);
    host.paths->OnSent(IdOf(server), now_,
                       {kMeanWork, host.states[server].Load(now_)});
    if (CutOf(number, server) == Cut::kNone)
      At(now_ + kHop, [this, id] { Enter(id); });
    At(now_ + kTimeout, [this, id] { End(id); });
  }

  void Probe(std::size_t number, std::size_t server) {
    Host& host = *hosts_[number];
    const std::uint64_t id = ++last_id_;
    requests_[id] = {number, host.incarnation, server, true, false, now_};
    const ServerLoad load = host.states[server].Load(now_);
    host.paths->OnSent(IdOf(server), now_, {.load = load});
    const Cut cut = CutOf(number, server);
    if (cut == Cut::kHang) {
      At(now_ + kConnectTimeout, [this, id] {
        const Request& probe = requests_.at(id);
        if (IsCurrent(probe))
          PathsOf(probe).OnConnectFailed(IdOf(probe.server), now_);
        End(id);
      });
      return;
    }
    At(now_ + kHop, [this, id] {
      const Request& probe = requests_.at(id);
      if (IsCurrent(probe))
        PathsOf(probe).OnConnected(IdOf(probe.server), now_);
    });
    if (cut == Cut::kNone)
      At(now_ + kHop, [this, id] { Enter(id); });
    At(now_ + ServerSilence::ProbeTimeout(load), [this, id] { End(id); });
  }

  /// A request arrives at its server.
  void Enter(std::uint64_t id) {
    Request& request = requests_.at(id);
    Server& server = servers_[request.server];
    request.is_working = true;
    if (server.in_use < kSlots)
      Begin(id);
    else if (server.queue.size() < kQueue)
      server.queue.push_back(id);
    else
      Answer(id, RequestOutcome::kShed);
  }

  void Begin(std::uint64_t id) {
    const Request& request = requests_.at(id);
    ++servers_[request.server].in_use;
    Duration work = kProbeWork;
    if (!request.is_probe)
      work = Scaled(kMeanWork, 0.6 + 0.8 * random_.Uniform());
    if (slow_domain_ == DomainOf(request.server))
      work = Scaled(work, slow_factor_);
    At(now_ + work, [this, id] { Finish(id); });
  }

  void Finish(std::uint64_t id) {
    Server& server = servers_[requests_.at(id).server];
    --server.in_use;
    Answer(id, RequestOutcome::kOk);
    while (!server.queue.empty() && server.in_use < kSlots) {
      const std::uint64_t next = server.queue.front();
      server.queue.pop_front();
      // What its host has given up is dropped.
      if (requests_.at(next).is_working)
        Begin(next);
    }
  }

  void Answer(std::uint64_t id, RequestOutcome outcome) {
    Request& request = requests_.at(id);
    const Server& server = servers_[request.server];
    const LoadReport load{server.in_use,
                          static_cast<std::uint32_t>(server.queue.size())};
    if (!std::exchange(request.is_working, false) ||
        CutOf(request.host, request.server) != Cut::kNone)
      return;
    At(now_ + kHop, [this, id, outcome, load] {
      const Request one = requests_.at(id);
      if (!IsCurrent(one) || (!one.is_probe && !IsRunning(id)))
        return;
      ++answers_;
      Host& host = *hosts_[one.host];
      host.paths->OnAnswered(IdOf(one.server), now_, one.sent);
      longest_silence_ = std::max(longest_silence_, now_ - one.sent);
      if (one.is_probe) {
        host.paths->OnProbeAnswered(IdOf(one.server));
        requests_.at(id).incarnation = ~0ULL;
        return;
      }
      host.running.erase(id);
      host.states[one.server].OnFinished(outcome, now_ - one.sent, kMeanWork, 0,
                                         now_);
      host.states[one.server].OnLoad(load, now_);
    });
  }

  /// Ends a request that has got no answer.
  void End(std::uint64_t id) {
    Request& request = requests_.at(id);
    request.is_working = false;
    if (!IsCurrent(request) || (!request.is_probe && !IsRunning(id)))
      return;
    Host& host = *hosts_[request.host];
    host.paths->OnUnanswered(IdOf(request.server), request.sent);
    if (request.is_probe) {
      request.incarnation = ~0ULL;
      return;
    }
    host.running.erase(id);
    host.states[request.server].OnFinished(
        RequestOutcome::kTimeout, now_ - request.sent, kMeanWork, 0, now_);
  }

  [[nodiscard]] bool IsCurrent(const Request& request) const {
    return hosts_[request.host]->incarnation == request.incarnation;
  }
  [[nodiscard]] bool IsRunning(std::uint64_t id) const {
    return hosts_[requests_.at(id).host]->running.contains(id);
  }
  PathMonitor& PathsOf(const Request& request) {
    return *hosts_[request.host]->paths;
  }

  void Tick(std::size_t number) {
    Host& host = *hosts_[number];
    At(now_ + kTick, [this, number] { Tick(number); });
    for (const BackendServerId server : host.paths->running())
      host.paths->SetLoad(server, StateOf(host, server).Load(now_));
    for (const PathChange& change : host.paths->Update(now_)) {
      if (change.kind == PathChange::Kind::kLost)
        host.lost.emplace(change.group, now_);
    }
    Abandon(host);
    const auto probes =
        host.paths->TakeProbes([](BackendServerId) { return true; }, now_);
    for (const BackendServerId server : probes)
      Probe(number, server.value() - 1000);
    HearPeers(number);
  }

  static BackendState& StateOf(Host& host, BackendServerId server) {
    return host.states[server.value() - 1000];
  }

  /// What a gateway gives up.
  void Abandon(Host& host) {
    for (const std::uint64_t id : std::set<std::uint64_t>(host.running)) {
      const Request& request = requests_.at(id);
      if (!host.paths->IsHopeless(IdOf(request.server), request.sent, now_))
        continue;
      abandoned_ += request.is_working ? 1 : 0;
      End(id);
    }
  }

  /// Asks other hosts what they reach.
  void HearPeers(std::size_t number) {
    Host& host = *hosts_[number];
    const auto groups = host.paths->AskedGroups(now_);
    if (groups.empty())
      return;
    const std::size_t peer =
        (number + 1 + random_.Below(hosts_.size() - 1)) % hosts_.size();
    Host& other = *hosts_[peer];
    other.paths->OnAsked(groups, now_);
    host.paths->OnPeerReport(HostId(peer), other.paths->ReportsOn(groups, now_),
                             now_);
  }

  /// Tells the other hosts' requests to a host.
  void Report(std::size_t number) {
    At(now_ + kReportPeriod, [this, number] { Report(number); });
    std::vector<std::uint32_t> others(servers_.size());
    for (std::size_t peer = 0; peer < hosts_.size(); ++peer) {
      for (std::size_t i = 0; peer != number && i < servers_.size(); ++i)
        others[i] += hosts_[peer]->states[i].own_running();
    }
    for (std::size_t i = 0; i < servers_.size(); ++i)
      hosts_[number]->states[i].OnPeerUse(others[i], now_);
  }

  Options options_;
  RandomSource random_;
  TimePoint now_ = TimePoint(std::chrono::hours(1));
  std::multimap<TimePoint, std::function<void()>> events_;
  std::vector<double> loads_;                 ///< By failure domain.
  std::map<std::size_t, std::size_t> homes_;  ///< Host by failure domain.
  std::optional<std::size_t> slow_domain_{};
  double slow_factor_ = 1.0;
  std::vector<Server> servers_;
  std::vector<std::unique_ptr<Host>> hosts_;
  std::map<std::uint64_t, Request> requests_;
  std::uint64_t last_id_ = 0;
  std::size_t abandoned_ = 0;
  std::size_t answers_ = 0;
  Duration longest_silence_{};
};

}  // namespace comfreyvane::testing

#endif  // TESTS_SUPPORT_BUSY_FLEET_H_
