/// @file
/// Simulation of hosts and of backend servers that name request limits, in
/// virtual time.
#ifndef TESTS_SUPPORT_LIMITED_FLEET_H_
#define TESTS_SUPPORT_LIMITED_FLEET_H_

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdint>
#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "comfreyvane/base/random_source.h"
#include "comfreyvane/edge/backend_entry.h"
#include "comfreyvane/edge/backend_picker.h"
#include "comfreyvane/edge/fleet_view.h"

namespace comfreyvane::testing {

/// Plays callers against a fleet whose servers name request limits, and counts
/// what each server gets from all hosts together. Some answers are failures,
/// after which the host tries another server; refused callers come back once,
/// at any host.
class LimitedFleet {
 public:
  struct Options {
    std::size_t hosts = 8;
    std::size_t servers = 14;
    double rate_per_server = 10.0;  ///< Requests/s of all callers.
    std::uint64_t seed = 1;
  };

  /// Time for which a server's limit has been named before it must be kept, and
  /// the span over which requests are counted, as the platform states them.
  static constexpr Duration kSettlingTime = std::chrono::seconds(3);
  static constexpr Duration kWindow = std::chrono::seconds(4);

  explicit LimitedFleet(const Options& options)
      : options_(options), random_(options.seed) {
    for (std::size_t i = 0; i < options_.servers; ++i)
      AddServer(i);
    for (std::size_t i = 0; i < options_.hosts; ++i) {
      FleetHost host;
      host.name = "edge-" + std::to_string(i);
      host.failure_domain = kDomains[i % kDomains.size()];
      host.region = RegionOf(host.failure_domain);
      index_of_host_.emplace(host.id(), i);
      listed_.push_back(host);
    }
    for (std::size_t i = 0; i < options_.hosts; ++i)
      hosts_.push_back(std::make_unique<Host>(NewHost(i)));
    ScheduleArrival();
    Schedule(now_ + kTick, [this] { Tick(); });
  }

  /// Continues the simulation.
  void Run(Duration span) {
    const TimePoint end = now_ + span;
    while (!events_.empty() && events_.begin()->first.first <= end) {
      auto event = events_.extract(events_.begin());
      now_ = event.key().first;
      event.mapped()();
    }
    now_ = end;
  }

  /// @param rate limit that the server names from now on; nothing: none.
  void NameLimit(std::size_t server, std::optional<double> rate) {
    servers_[server].limits.emplace_back(now_, rate);
  }
  void NameLimits(std::optional<double> rate) {
    for (std::size_t i = 0; i < servers_.size(); ++i)
      NameLimit(i, rate);
  }

  /// Restarts a host, which forgets everything.
  void RestartHost(std::size_t host) {
    *hosts_[host] = NewHost(host);
    // Its first heartbeat is answered by hosts that report limits.
    for (const auto& other : hosts_) {
      const auto reports = other->picker.LimitReports(now_);
      if (now_ >= other->frozen_until && !reports.empty())
        Send(*other, host, reports);
    }
  }

  /// Stops a host for some time; callers do not reach it meanwhile.
  void FreezeHost(std::size_t host, Duration span) {
    hosts_[host]->frozen_until = now_ + span;
  }

  /// The same for the first hosts in the order for a server.
  void FreezeFirst(std::size_t server, std::size_t count, Duration span) {
    const BackendEntry& entry = servers_[server].entry;
    for (const auto& host : hosts_) {
      const LimitRank rank = host->view.LimitRankFor(
          entry.id(), entry.failure_domain, false, now_);
      if (rank.rank < count)
        FreezeHost(host->index, span);
    }
  }

  /// Stops or resumes all messages between a host and the others.
  void CutFromPeers(std::size_t host, bool is_cut) {
    hosts_[host]->is_cut = is_cut;
  }

  /// Restarts a server under its name.
  void RestartServer(std::size_t server) {
    ++servers_[server].entry.started_ms;
    for (const auto& host : hosts_)
      host->picker.Upsert(servers_[server].entry, now_);
  }

  /// @return by how many requests a server got more than the platform allows,
  ///     in the worst span; 0 or less: never.
  [[nodiscard]] double Excess(std::size_t server) const {
    const Server& row = servers_[server];
    double worst = -std::numeric_limits<double>::infinity();
    for (auto first = row.arrivals.begin(); first != row.arrivals.end();
         ++first) {
      const auto last =
          std::lower_bound(first, row.arrivals.end(), *first + kWindow);
      const double allowed = Allowed(row, *first);
      worst = std::max(worst, static_cast<double>(last - first) - allowed);
    }
    return worst;
  }

  /// @return the largest excess of all servers.
  [[nodiscard]] double Excess() const {
    double worst = -std::numeric_limits<double>::infinity();
    for (std::size_t i = 0; i < servers_.size(); ++i)
      worst = std::max(worst, Excess(i));
    return worst;
  }

  /// @return requests that a server got in the last seconds.
  [[nodiscard]] std::size_t ArrivalsWithin(std::size_t server,
                                           Duration span) const {
    const auto& arrivals = servers_[server].arrivals;
    return static_cast<std::size_t>(
        arrivals.end() -
        std::lower_bound(arrivals.begin(), arrivals.end(), now_ - span));
  }

  /// @return hosts that are not frozen and know a limit of a server.
  [[nodiscard]] std::size_t LimitedHosts(std::size_t server) const {
    return static_cast<std::size_t>(
        std::ranges::count_if(hosts_, [&](const auto& host) {
          return now_ >= host->frozen_until &&
                 host->picker.LimitOf(servers_[server].entry.id()).has_value();
        }));
  }

  [[nodiscard]] std::size_t refused() const { return refused_; }
  [[nodiscard]] std::size_t served() const { return served_; }

 private:
  struct Host {
    std::size_t index;
    BackendPicker picker;
    FleetView view;
    TimePoint frozen_until{};
    bool is_cut = false;
    std::uint64_t run = 0;  ///< Differs between runs of the host.
  };
  struct Server {
    BackendEntry entry;
    /// What it names, by the time since which it does.
    std::vector<std::pair<TimePoint, std::optional<double>>> limits;
    std::vector<TimePoint> arrivals;
  };
  struct Request {
    std::size_t host;
    std::uint64_t run;
    PickRequest pick;
    bool has_returned = false;
    std::size_t attempts = 0;
  };

  static constexpr std::array<const char*, 6> kDomains{
      "west-a", "west-b", "east-a", "east-b", "north-a", "north-b"};
  static constexpr Duration kTick = std::chrono::milliseconds(500);
  static constexpr Duration kWork = std::chrono::milliseconds(300);
  static constexpr Duration kDelay = std::chrono::milliseconds(10);
  static constexpr Duration kRetryAfter = std::chrono::milliseconds(200);
  static constexpr double kFailureRate = 0.05;
  static constexpr double kLossRate = 0.02;  ///< Of messages between hosts.
  static constexpr double kMaxShift = 0.15;
  static constexpr std::uint64_t kObjects = 200;
  static constexpr std::size_t kMaxAttempts = 2;

  static std::string RegionOf(const std::string& domain) {
    return domain.substr(0, domain.find('-'));
  }

  void Schedule(TimePoint when, std::function<void()> event) {
    events_.emplace(std::pair(when, ++last_event_), std::move(event));
  }

  void AddServer(std::size_t index) {
    BackendEntry entry;
    entry.name = "server-" + std::to_string(index);
    entry.service = ServiceId::Of("capture");
    entry.failure_domain =
        FailureDomainId::Of(kDomains[index % kDomains.size()]);
    entry.slots = 16;
    entry.started_ms = 1;
    index_of_.emplace(entry.id(), index);
    servers_.push_back({entry, {}, {}});
  }

  [[nodiscard]] Host NewHost(std::size_t index) {
    const FleetHost& self = listed_[index];
    std::unordered_map<FailureDomainId, RegionId> domains;
    for (const char* domain : kDomains)
      domains.emplace(FailureDomainId::Of(domain),
                      RegionId::Of(RegionOf(domain)));
    Host host{index,
              BackendPicker({FailureDomainId::Of(self.failure_domain),
                             RegionId::Of(self.region)},
                            domains, kMaxShift),
              FleetView(self),
              {},
              false,
              ++last_run_};
    host.view.OnListed(listed_, now_);
    for (const Server& server : servers_)
      host.picker.Upsert(server.entry, now_);
    return host;
  }

  void UpdateRoles(Host& host) {
    for (const BackendServerId server : host.picker.LimitedServers()) {
      const BackendEntry& entry = servers_[index_of_.at(server)].entry;
      host.picker.SetLimitRank(
          server,
          host.view.LimitRankFor(server, entry.failure_domain, false, now_),
          now_);
    }
  }

  void Tick() {
    ++ticks_;
    for (const auto& host : hosts_) {
      if (now_ < host->frozen_until)
        continue;
      UpdateRoles(*host);
      SendNews(*host);
      SendReports(*host);
    }
    Schedule(now_ + kTick, [this] { Tick(); });
  }

  void SendNews(const Host& host) {
    for (const LimitReport& news : host.picker.LimitNews(now_)) {
      const BackendEntry& entry = servers_[index_of_.at(news.server)].entry;
      for (const FleetHost& reporter :
           host.view.LimitReporters(news.server, entry.failure_domain))
        Send(host, index_of_host_.at(reporter.id()), {news});
    }
  }

  /// Hosts of other regions get a third of the messages.
  void SendReports(const Host& host) {
    const std::vector<LimitReport> reports = host.picker.LimitReports(now_);
    if (reports.empty() || host.is_cut)
      return;
    const bool to_all = ticks_ % 3 == 0;
    Schedule(now_ + kDelay, [this, from = host.index, to_all, reports] {
      for (std::size_t to = 0; to < hosts_.size(); ++to) {
        if (to != from &&
            (to_all || listed_[to].region == listed_[from].region))
          Deliver(to, reports);
      }
    });
  }

  void Send(const Host& from,
            std::size_t to,
            const std::vector<LimitReport>& reports) {
    if (from.index == to || from.is_cut)
      return;
    Schedule(now_ + kDelay, [this, to, reports] { Deliver(to, reports); });
  }

  void Deliver(std::size_t to, const std::vector<LimitReport>& reports) {
    Host& host = *hosts_[to];
    if (host.is_cut || now_ < host.frozen_until ||
        random_.Uniform() < kLossRate)
      return;
    for (const LimitReport& report : reports)
      static_cast<void>(host.picker.OnLimitReport(report, now_));
  }

  void ScheduleArrival() {
    const double rate =
        options_.rate_per_server * static_cast<double>(options_.servers);
    const double gap = -std::log(1.0 - random_.Uniform()) / rate;
    Schedule(now_ + std::chrono::duration_cast<Duration>(
                        std::chrono::duration<double>(gap)),
             [this] {
               Request request{};
               request.pick.service = ServiceId::Of("capture");
               request.pick.kind = 1;
               request.pick.object = 1 + random_.Below(kObjects);
               request.pick.objective = std::chrono::milliseconds(600);
               request.pick.deadline = now_ + std::chrono::seconds(4);
               Arrive(request);
               ScheduleArrival();
             });
  }

  void Arrive(Request request) {
    request.host = random_.Below(hosts_.size());
    const Host& host = *hosts_[request.host];
    request.run = host.run;
    if (now_ >= host.frozen_until)
      Attempt(request);
  }

  void Attempt(Request request) {
    Host& host = *hosts_[request.host];
    if (host.run != request.run)
      return;
    const auto choice = host.picker.Pick(request.pick, now_);
    if (!choice || !host.picker.OnStarted(*choice, now_)) {
      Refuse(request);
      return;
    }
    ++request.attempts;
    const std::size_t server = index_of_.at(choice->server);
    Schedule(now_ + kDelay, [this, request, choice = *choice, server,
                             sent_at = now_] {
      servers_[server].arrivals.push_back(now_);
      Schedule(now_ + kWork, [this, request, choice, server, sent_at] {
        const NamedLimit named = NamedNow(servers_[server]);
        Schedule(now_ + kDelay, [this, request, choice, named, sent_at] {
          Finish(request, choice, named, sent_at);
        });
      });
    });
  }

  void Finish(Request request,
              const BackendChoice& choice,
              const NamedLimit& named,
              TimePoint sent_at) {
    Host& host = *hosts_[request.host];
    if (host.run != request.run)
      return;
    if (now_ < host.frozen_until) {
      Schedule(host.frozen_until, [this, request, choice, named, sent_at] {
        Finish(request, choice, named, sent_at);
      });
      return;
    }
    static_cast<void>(
        host.picker.OnNamedLimit(choice.server, named, sent_at, now_));
    const bool failed = random_.Uniform() < kFailureRate;
    host.picker.OnFinished(
        choice, request.pick,
        failed ? RequestOutcome::kFailed : RequestOutcome::kOk, now_ - sent_at,
        1500, now_);
    if (!failed) {
      ++served_;
    } else if (request.attempts < kMaxAttempts) {
      request.pick.excluded.push_back(choice.server);
      Attempt(request);
    }
  }

  void Refuse(Request request) {
    if (request.has_returned) {
      ++refused_;
      return;
    }
    request.has_returned = true;
    Schedule(now_ + kRetryAfter, [this, request] { Arrive(request); });
  }

  [[nodiscard]] static NamedLimit NamedNow(const Server& server) {
    if (server.limits.empty() || !server.limits.back().second)
      return {};
    return {NamedLimit::State::kNamed, *server.limits.back().second};
  }

  /// @return the requests that a server may get in a window; infinite unless it
  ///     has named a limit for long enough.
  [[nodiscard]] static double Allowed(const Server& server, TimePoint begin) {
    constexpr double kTolerance = 1.5;
    constexpr double kSlack = 5.0;
    constexpr double kUnlimited = std::numeric_limits<double>::infinity();
    const TimePoint from = begin - kSettlingTime;
    std::optional<double> rate;
    double highest = 0.0;
    for (const auto& [since, named] : server.limits) {
      if (since > begin + kWindow)
        break;
      if (since <= from) {
        rate = named;
        highest = 0.0;
      } else {
        if (!rate)
          return kUnlimited;
        rate = named;
      }
      if (!named)
        highest = kUnlimited;
      else
        highest = std::max(highest, *named);
    }
    if (!rate)
      return kUnlimited;
    const double seconds = std::chrono::duration<double>(kWindow).count();
    return kTolerance * highest * seconds + kSlack;
  }

  Options options_;
  RandomSource random_;
  TimePoint now_ = TimePoint(std::chrono::hours(1));
  std::uint64_t last_event_ = 0;
  std::uint64_t last_run_ = 0;
  std::map<std::pair<TimePoint, std::uint64_t>, std::function<void()>> events_;
  std::vector<FleetHost> listed_;
  std::vector<std::unique_ptr<Host>> hosts_;
  std::vector<Server> servers_;
  std::unordered_map<BackendServerId, std::size_t> index_of_;
  std::unordered_map<HostId, std::size_t> index_of_host_;
  std::uint64_t ticks_ = 0;
  std::size_t refused_ = 0;
  std::size_t served_ = 0;
};

}  // namespace comfreyvane::testing

#endif  // TESTS_SUPPORT_LIMITED_FLEET_H_
