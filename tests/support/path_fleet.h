/// @file
/// Simulation of hosts that lose their paths to backend servers, in virtual
/// time.
#ifndef TESTS_SUPPORT_PATH_FLEET_H_
#define TESTS_SUPPORT_PATH_FLEET_H_

#include <algorithm>
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
#include "comfreyvane/edge/carrier_picker.h"
#include "comfreyvane/edge/path_monitor.h"

namespace comfreyvane::testing {

/// Hosts of six failure domains in three regions with the decision code for
/// lost paths, and a network whose links can be cut. Each host gets requests at
/// random times; servers answer after a random time.
class PathFleet {
 public:
  enum class Cut { kNone, kHang, kReset, kRefuse };

  struct Options {
    std::size_t hosts = 8;
    std::size_t servers = 48;
    double rate = 20.0;          ///< Requests/s of each host.
    double message_loss = 0.02;  ///< Fraction of messages between hosts.
    std::uint64_t seed = 1;
  };

  /// Requests of some hosts that were sent in some span.
  struct Tally {
    double served = 0.0;
    double sent = 0.0;

    [[nodiscard]] double share() const { return served / std::max(1.0, sent); }
  };

  explicit PathFleet(const Options& options)
      : options_(options), random_(options.seed) {
    for (std::size_t i = 0; i < options.hosts; ++i)
      AddHost(i);
    for (std::size_t i = 0; i < options.hosts; ++i) {
      At(now_ + Spread(kTick), [this, i] { Tick(i); });
      At(now_ + NextRequest(), [this, i] { Arrive(i); });
    }
  }
  PathFleet(const PathFleet&) = delete;
  PathFleet& operator=(const PathFleet&) = delete;

  [[nodiscard]] TimePoint now() const { return now_; }
  [[nodiscard]] static std::size_t DomainOf(std::size_t number) {
    return number % kDomains;
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

  /// Cuts a host from the servers of a failure domain, or from all.
  void SetCut(std::size_t host,
              Cut cut,
              std::optional<std::size_t> domain = std::nullopt) {
    Host& one = *hosts_[host];
    one.cut = cut;
    one.cut_domain = domain;
    if (cut != Cut::kReset)
      return;
    for (const std::size_t request : std::set<std::size_t>(one.direct)) {
      if (IsCut(one, requests_[request].server))
        Break(request);
    }
  }
  void SetCutFromPeers(std::size_t host, bool cut) {
    hosts_[host]->is_cut_from_peers = cut;
  }
  /// Stops a host for some time. What arrives meanwhile is handled afterwards.
  void Freeze(std::size_t host, Duration span) {
    hosts_[host]->frozen_until = now_ + span;
  }
  /// Restarts a host, which forgets all that it knows.
  void Restart(std::size_t host) {
    Host& one = *hosts_[host];
    one.paths = std::make_unique<PathMonitor>();
    one.carriers = std::make_unique<CarrierPicker>(one.self);
    one.direct.clear();
    ++one.incarnation;
    ListServers(one);
  }

  [[nodiscard]] Tally ServedOf(const std::set<std::size_t>& hosts,
                               TimePoint from,
                               TimePoint to) const {
    Tally tally;
    for (const Request& request : requests_) {
      if (!hosts.contains(request.host) || request.sent < from ||
          request.sent >= to)
        continue;
      tally.sent += 1.0;
      tally.served += request.is_served ? 1.0 : 0.0;
    }
    return tally;
  }
  /// @return the hosts that are not in a set.
  [[nodiscard]] std::set<std::size_t> Others(
      const std::set<std::size_t>& hosts) const {
    std::set<std::size_t> others;
    for (std::size_t i = 0; i < hosts_.size(); ++i) {
      if (!hosts.contains(i))
        others.insert(i);
    }
    return others;
  }
  /// @return requests that a host has carried so far.
  [[nodiscard]] std::size_t CarriedBy(std::size_t host) const {
    return hosts_[host]->carried;
  }
  /// @return how often a host has lost a path.
  [[nodiscard]] std::size_t LossesOf(std::size_t host) const {
    return hosts_[host]->losses;
  }
  /// @return probes that all hosts have sent.
  [[nodiscard]] std::size_t probes() const { return probes_; }
  /// @return the largest number of runs of one request.
  [[nodiscard]] int MostRuns() const {
    int most = 0;
    for (const Request& request : requests_)
      most = std::max(most, request.runs);
    return most;
  }

 private:
  static constexpr std::size_t kDomains = 6;
  static constexpr std::size_t kDomainsPerRegion = 2;
  static constexpr std::size_t kServices = 2;
  static constexpr Duration kTick = std::chrono::milliseconds(50);
  static constexpr Duration kAskPeriod = std::chrono::milliseconds(300);
  static constexpr Duration kTimeout = std::chrono::seconds(2);
  static constexpr Duration kConnectTimeout = std::chrono::milliseconds(300);
  static constexpr Duration kHop = std::chrono::milliseconds(10);
  static constexpr int kMaxTries = 4;
  /// Fraction of requests for which an open connection is idle.
  static constexpr double kOpenFraction = 0.5;

  struct Host {
    std::size_t number = 0;
    FleetHost self;
    std::uint64_t incarnation = 1;
    std::unique_ptr<PathMonitor> paths;
    std::unique_ptr<CarrierPicker> carriers;
    Cut cut = Cut::kNone;
    std::optional<std::size_t> cut_domain;
    bool is_cut_from_peers = false;
    TimePoint frozen_until{};
    TimePoint next_question{};
    std::set<std::size_t> direct;  ///< Requests at servers.
    std::size_t carried = 0;
    std::size_t losses = 0;
  };

  struct Request {
    std::size_t host = 0;
    TimePoint sent{};
    std::size_t server = 0;
    std::vector<HostId> tried{};
    int tries = 0;
    int runs = 0;
    bool is_served = false;
  };

  static BackendServerId ServerId(std::size_t server) {
    return BackendServerId(1000 + server);
  }

  void AddHost(std::size_t number) {
    auto host = std::make_unique<Host>();
    const std::size_t domain = DomainOf(number);
    host->number = number;
    host->self = {"h" + std::to_string(number),
                  "r" + std::to_string(domain / kDomainsPerRegion),
                  "d" + std::to_string(domain),
                  "",
                  "",
                  0,
                  0.2};
    host->paths = std::make_unique<PathMonitor>();
    host->carriers = std::make_unique<CarrierPicker>(host->self);
    ListServers(*host);
    by_id_[host->self.id()] = number;
    serving_.push_back(host->self);
    hosts_.push_back(std::move(host));
  }
  void ListServers(Host& host) const {
    for (std::size_t i = 0; i < options_.servers; ++i) {
      host.paths->OnListed(ServerId(i), ServiceId(i / kDomains % kServices),
                           FailureDomainId(DomainOf(i)));
    }
  }

  void At(TimePoint time, std::function<void()> action) {
    events_.emplace(time, std::move(action));
  }
  /// Runs an action of a host once the host is not frozen.
  void AtHost(std::size_t host, TimePoint time, std::function<void()> action) {
    At(time, [this, host, action = std::move(action)] {
      if (now_ < hosts_[host]->frozen_until)
        AtHost(host, hosts_[host]->frozen_until, action);
      else
        action();
    });
  }
  [[nodiscard]] Duration Spread(Duration most) {
    return Scaled(most, random_.Uniform());
  }
  [[nodiscard]] Duration NextRequest() {
    return Scaled(std::chrono::seconds(1),
                  2.0 * random_.Uniform() / options_.rate);
  }
  [[nodiscard]] Duration Work() {
    return std::chrono::milliseconds(200 + random_.Below(600));
  }
  [[nodiscard]] static bool IsCut(const Host& host, std::size_t server) {
    return host.cut != Cut::kNone &&
           (!host.cut_domain || *host.cut_domain == DomainOf(server));
  }

  void Tick(std::size_t number) {
    Host& host = *hosts_[number];
    AtHost(number, now_ + kTick, [this, number] { Tick(number); });
    for (const PathChange& change : host.paths->Update(now_))
      host.losses += change.kind == PathChange::Kind::kLost ? 1 : 0;
    const auto probes =
        host.paths->TakeProbes([](BackendServerId) { return true; }, now_);
    for (const BackendServerId server : probes)
      Probe(number, server.value() - 1000);
    const auto groups = host.paths->AskedGroups(now_);
    if (groups.empty() || now_ < host.next_question)
      return;
    host.next_question = now_ + kAskPeriod;
    for (const FleetHost& peer : host.carriers->HostsToAsk(serving_))
      Ask(number, by_id_.at(peer.id()), groups);
  }

  [[nodiscard]] bool IsDelivered(std::size_t from, std::size_t to) {
    return !hosts_[from]->is_cut_from_peers && !hosts_[to]->is_cut_from_peers &&
           random_.Uniform() >= options_.message_loss;
  }

  void Ask(std::size_t from,
           std::size_t to,
           const std::vector<PathGroup>& groups) {
    if (!IsDelivered(from, to))
      return;
    AtHost(to, now_ + kHop, [this, from, to, groups] {
      if (!IsDelivered(to, from))
        return;
      const Host& peer = *hosts_[to];
      const CarrierPicker::Report report{
          peer.incarnation, peer.paths->ReportsOn(groups, now_), {}};
      AtHost(from, now_ + kHop, [this, from, to, report] {
        Host& host = *hosts_[from];
        host.paths->OnPeerReport(hosts_[to]->self.id(), report.paths, now_);
        host.carriers->OnReport(hosts_[to]->self, report, now_);
      });
    });
  }

  void Probe(std::size_t number, std::size_t server) {
    ++probes_;
    Host& host = *hosts_[number];
    host.paths->OnSent(ServerId(server), now_);
    const Cut cut = IsCut(host, server) ? host.cut : Cut::kNone;
    const Duration time = cut == Cut::kHang ? kConnectTimeout : kHop;
    AtHost(number, now_ + time, [this, number, server, cut] {
      PathMonitor& paths = *hosts_[number]->paths;
      if (cut == Cut::kNone) {
        paths.OnConnected(ServerId(server), now_);
        paths.OnAnswered(ServerId(server), now_);
        paths.OnProbeAnswered(ServerId(server));
      } else {
        paths.OnConnectFailed(ServerId(server), now_);
        paths.OnUnanswered(ServerId(server));
      }
    });
  }

  void Arrive(std::size_t number) {
    At(now_ + NextRequest(), [this, number] { Arrive(number); });
    const std::size_t request = requests_.size();
    Request arrived;
    arrived.host = number;
    arrived.sent = now_;
    requests_.push_back(std::move(arrived));
    AtHost(number, now_, [this, request] { Start(request); });
  }

  void Start(std::size_t number) {
    Request& request = requests_[number];
    Host& host = *hosts_[request.host];
    if (++request.tries > kMaxTries || now_ > request.sent + kTimeout)
      return;
    request.server = PickServer(host);
    const BackendServerId server = ServerId(request.server);
    const bool is_open =
        !(IsCut(host, request.server) && host.cut == Cut::kReset) &&
        random_.Uniform() < kOpenFraction;
    const ServerReach reach = host.paths->ReachOf(server);
    const bool is_reached = reach == ServerReach::kDirect ||
                            (reach == ServerReach::kOpenConnections && is_open);
    std::optional<PathGroup> group;
    if (host.paths->is_disturbed()) {
      group = is_reached ? host.paths->HoldBack(server, now_)
                         : host.paths->LostGroupOf(server);
    }
    const auto carrier =
        group ? host.carriers->Pick(*group, {}, request.tried, now_)
              : std::nullopt;
    if (carrier)
      Carry(number, *carrier);
    else if (is_reached)
      Send(number, is_open);
  }

  /// @return a random server of the host's region.
  [[nodiscard]] std::size_t PickServer(const Host& host) {
    const std::size_t region = DomainOf(host.number) / kDomainsPerRegion;
    while (true) {
      const std::size_t server = random_.Below(options_.servers);
      if (DomainOf(server) / kDomainsPerRegion == region)
        return server;
    }
  }

  void Send(std::size_t number, bool is_open) {
    Request& request = requests_[number];
    Host& host = *hosts_[request.host];
    const BackendServerId server = ServerId(request.server);
    const Cut cut = IsCut(host, request.server) ? host.cut : Cut::kNone;
    if (cut != Cut::kNone && !is_open) {
      const Duration time = cut == Cut::kHang ? kConnectTimeout : kHop;
      AtHost(request.host, now_ + time, [this, number, server] {
        hosts_[requests_[number].host]->paths->OnConnectFailed(server, now_);
        Start(number);
      });
      return;
    }
    if (!is_open)
      host.paths->OnConnected(server, now_);
    host.paths->OnSent(server, now_);
    host.direct.insert(number);
    if (cut == Cut::kHang) {
      At(request.sent + kTimeout, [this, number] { Break(number); });
      return;
    }
    ++request.runs;
    At(now_ + Work(), [this, number] { FinishDirect(number); });
  }

  void FinishDirect(std::size_t number) {
    Request& request = requests_[number];
    Host& host = *hosts_[request.host];
    if (!host.direct.contains(number))
      return;
    const bool is_lost = IsCut(host, request.server) && host.cut == Cut::kHang;
    if (is_lost) {
      At(request.sent + kTimeout, [this, number] { Break(number); });
      return;
    }
    AtHost(request.host, now_, [this, number] {
      Request& one = requests_[number];
      Host& its_host = *hosts_[one.host];
      if (its_host.direct.erase(number) == 0)
        return;
      its_host.paths->OnAnswered(ServerId(one.server), now_);
      one.is_served = now_ <= one.sent + kTimeout;
    });
  }

  /// Ends a request without an answer. It may have run, so it is not repeated.
  void Break(std::size_t number) {
    const Request& request = requests_[number];
    Host& host = *hosts_[request.host];
    if (host.direct.erase(number) > 0)
      host.paths->OnConnectionLost(ServerId(request.server), now_);
  }

  void Carry(std::size_t number, const Carrier& carrier) {
    Request& request = requests_[number];
    const std::size_t origin = request.host;
    const std::size_t peer = by_id_.at(carrier.host.id());
    const std::uint64_t incarnation = carrier.incarnation;
    hosts_[origin]->carriers->OnStarted(carrier.host.id());
    request.tried.push_back(carrier.host.id());
    if (hosts_[peer]->is_cut_from_peers || hosts_[origin]->is_cut_from_peers) {
      AtHost(origin, now_ + kConnectTimeout,
             [this, number, peer] { ReturnFrom(peer, number, false); });
      return;
    }
    AtHost(peer, now_ + kHop, [this, number, peer, incarnation] {
      RunForPeer(peer, number, incarnation);
    });
  }

  void RunForPeer(std::size_t peer,
                  std::size_t number,
                  std::uint64_t incarnation) {
    Request& request = requests_[number];
    Host& host = *hosts_[peer];
    const bool is_given_up = now_ > request.sent + kTimeout;
    const std::size_t server = PickServer(*hosts_[request.host]);
    const bool is_reached =
        host.paths->ReachOf(ServerId(server)) == ServerReach::kDirect;
    if (is_given_up || !is_reached || incarnation != host.incarnation) {
      AtHost(request.host, now_ + kHop,
             [this, number, peer] { ReturnFrom(peer, number, false); });
      return;
    }
    ++host.carried;
    host.paths->OnSent(ServerId(server), now_);
    if (IsCut(host, server)) {
      At(request.sent + kTimeout, [this, peer, server] {
        hosts_[peer]->paths->OnConnectionLost(ServerId(server), now_);
      });
      return;
    }
    ++request.runs;
    AtHost(peer, now_ + Work(), [this, number, peer, server] {
      hosts_[peer]->paths->OnAnswered(ServerId(server), now_);
      AtHost(requests_[number].host, now_ + kHop,
             [this, number, peer] { ReturnFrom(peer, number, true); });
    });
  }

  void ReturnFrom(std::size_t peer, std::size_t number, bool is_served) {
    Request& request = requests_[number];
    hosts_[request.host]->carriers->OnFinished(hosts_[peer]->self.id(),
                                               is_served, now_);
    request.is_served = is_served && now_ <= request.sent + kTimeout;
    if (!is_served)
      Start(number);
  }

  Options options_;
  RandomSource random_;
  TimePoint now_ = TimePoint(std::chrono::hours(1));
  std::multimap<TimePoint, std::function<void()>> events_;
  std::vector<std::unique_ptr<Host>> hosts_;
  std::vector<FleetHost> serving_;
  std::map<HostId, std::size_t> by_id_;
  std::vector<Request> requests_;
  std::size_t probes_ = 0;
};

}  // namespace comfreyvane::testing

#endif  // TESTS_SUPPORT_PATH_FLEET_H_
