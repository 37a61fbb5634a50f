/// @file
/// Simulation of hosts and backend servers under load, in virtual time.
#ifndef TESTS_SUPPORT_FLEET_SIMULATION_H_
#define TESTS_SUPPORT_FLEET_SIMULATION_H_

#include <cmath>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "comfreyvane/base/random_source.h"
#include "comfreyvane/edge/admission_queue.h"
#include "comfreyvane/edge/backend_entry.h"
#include "comfreyvane/edge/backend_picker.h"
#include "comfreyvane/edge/wait_policy.h"
#include "support/simulated_server.h"

namespace comfreyvane::testing {

/// Outcomes of callers' requests.
struct CallerTally {
  int in_time = 0;
  int late = 0;
  int refused = 0;
  int ran_warm = 0;
  int ran_cold = 0;

  [[nodiscard]] int total() const { return in_time + late + refused; }
  [[nodiscard]] double in_time_fraction() const {
    return static_cast<double>(in_time) / std::max(1, total());
  }
  [[nodiscard]] double warm_fraction() const {
    return static_cast<double>(ran_warm) / std::max(1, ran_warm + ran_cold);
  }

  friend bool operator==(const CallerTally&, const CallerTally&) = default;
};

/// Simulates a load on a fleet with the decision code of the hosts. Hosts get
/// the servers' load with each answer, and each other's use twice a second.
class FleetSimulation {
 public:
  struct Region {
    std::string name;
    int hosts = 3;
    int servers = 10;
    double rate = 60.0;  ///< Requests/s of its callers.
  };
  struct Options {
    std::vector<Region> regions;
    SimulatedServer::Options server{};
    int objects = 53;  ///< Per region.
    Duration objective = std::chrono::milliseconds(600);
    Duration timeout = std::chrono::milliseconds(2500);
    /// Round trip between regions.
    Duration far_delay = std::chrono::milliseconds(40);
    double max_shift = 0.15;
    std::uint64_t seed = 1;
  };

  explicit FleetSimulation(const Options& options)
      : options_(options), random_(options.seed) {
    std::unordered_map<FailureDomainId, RegionId> domains;
    for (const Region& region : options_.regions)
      domains.emplace(FailureDomainId::Of(region.name + "-a"),
                      RegionId::Of(region.name));
    for (std::size_t i = 0; i < options_.regions.size(); ++i)
      AddRegion(i, domains);
    for (std::size_t i = 0; i < options_.regions.size(); ++i)
      ScheduleArrival(i);
    ReportPeerUse();
    DrainAll();
  }

  /// Continues the simulation.
  /// @return outcomes of the requests that ended in the time span, by region.
  std::map<std::string, CallerTally> Run(Duration span) {
    tallies_.clear();
    const TimePoint end = now_ + span;
    while (!events_.empty() && events_.begin()->first.first <= end) {
      auto event = events_.extract(events_.begin());
      now_ = event.key().first;
      event.mapped()();
    }
    now_ = end;
    return tallies_;
  }

 private:
  struct Host {
    std::size_t region;
    BackendPicker picker;
    AdmissionQueue<std::uint64_t> queue{};
  };
  struct Server {
    BackendEntry entry;
    std::size_t region;
    SimulatedServer model;
  };
  struct Request {
    std::size_t host;
    TimePoint started;
    PickRequest pick;
    BackendChoice choice{};
    TimePoint sent{};
  };

  static constexpr Duration kTick = std::chrono::milliseconds(50);
  static constexpr Duration kPeerUseInterval = std::chrono::milliseconds(500);

  void Schedule(TimePoint when, std::function<void()> event) {
    events_.emplace(std::pair(when, ++last_event_), std::move(event));
  }

  void AddRegion(std::size_t index,
                 const std::unordered_map<FailureDomainId, RegionId>& domains) {
    const Region& region = options_.regions[index];
    const auto domain = FailureDomainId::Of(region.name + "-a");
    for (int i = 0; i < region.servers; ++i) {
      BackendEntry entry;
      entry.name = region.name + "-s" + std::to_string(i) + '-' +
                   std::to_string(options_.seed);
      entry.service = ServiceId::Of("capture");
      entry.failure_domain = domain;
      entry.slots = static_cast<std::uint32_t>(options_.server.slots);
      const BackendServerId id = entry.id();
      servers_.emplace(id,
                       Server{entry, index, SimulatedServer(options_.server)});
    }
    for (int i = 0; i < region.hosts; ++i) {
      hosts_.push_back(std::make_unique<Host>(
          Host{index, BackendPicker({domain, RegionId::Of(region.name)},
                                    domains, options_.max_shift)}));
    }
    for (const auto& host : hosts_) {
      for (const auto& [id, server] : servers_)
        host->picker.Upsert(server.entry, now_);
    }
  }

  void ScheduleArrival(std::size_t region) {
    const double gap =
        -std::log(1.0 - random_.Uniform()) / options_.regions[region].rate;
    Schedule(now_ + std::chrono::duration_cast<Duration>(
                        std::chrono::duration<double>(gap)),
             [this, region] {
               Arrive(region);
               ScheduleArrival(region);
             });
  }

  void Arrive(std::size_t region) {
    std::vector<std::size_t> near;
    for (std::size_t i = 0; i < hosts_.size(); ++i) {
      if (hosts_[i]->region == region)
        near.push_back(i);
    }
    Request request{near[random_.Below(near.size())], now_, {}};
    request.pick.service = ServiceId::Of("capture");
    request.pick.kind = 1;
    request.pick.object =
        1000 * (region + 1) +
        random_.Below(static_cast<std::uint64_t>(options_.objects));
    request.pick.objective = options_.objective;
    request.pick.deadline = now_ + options_.timeout;
    const std::uint64_t id = ++last_id_;
    requests_.emplace(id, request);
    Host& host = *hosts_[request.host];
    DrainQueue(host);
    if (TryStart(host, id))
      return;
    const TimePoint wait_deadline = WaitDeadline(
        {now_, options_.objective, host.picker.ExpectedWarm(request.pick),
         request.pick.deadline});
    if (now_ + host.queue.ExpectedWait(request.pick.service, {}) >
        wait_deadline)
      Refuse(id);
    else
      host.queue.Push(request.pick.service, {}, id, wait_deadline);
  }

  bool TryStart(Host& host, std::uint64_t id) {
    Request& request = requests_.at(id);
    const auto choice = host.picker.Pick(request.pick, now_);
    if (!choice || !host.picker.OnStarted(*choice, now_))
      return false;
    request.choice = *choice;
    request.sent = now_;
    Schedule(now_ + Delay(*choice), [this, id] { ArriveAtServer(id); });
    return true;
  }

  [[nodiscard]] Duration Delay(const BackendChoice& choice) const {
    return choice.distance == Distance::kOtherRegion ? options_.far_delay / 2
                                                     : Duration::zero();
  }

  void ArriveAtServer(std::uint64_t id) {
    const Request& request = requests_.at(id);
    Server& server = servers_.at(request.choice.server);
    if (server.model.Accept({id, request.pick.object}))
      StartRuns(server);
    else
      Finish(id, RequestOutcome::kShed);
  }

  void StartRuns(Server& server) {
    while (const auto run = server.model.Start()) {
      CallerTally& tally = TallyOf(run->id);
      ++(run->warm ? tally.ran_warm : tally.ran_cold);
      Schedule(now_ + run->work, [this, &server, id = run->id] {
        server.model.Finish();
        StartRuns(server);
        const LoadReport load = server.model.load();
        Schedule(now_ + Delay(requests_.at(id).choice), [this, id, load] {
          const Request& request = requests_.at(id);
          hosts_[request.host]->picker.OnLoad(request.choice.server, load,
                                              now_);
          Finish(id, RequestOutcome::kOk);
        });
      });
    }
  }

  void Finish(std::uint64_t id, RequestOutcome outcome) {
    const Request request = requests_.at(id);
    Host& host = *hosts_[request.host];
    host.picker.OnFinished(request.choice, request.pick, outcome,
                           now_ - request.sent, 1500, now_);
    host.queue.OnReleased(request.pick.service, now_);
    if (outcome == RequestOutcome::kShed) {
      Refuse(id);
    } else {
      CallerTally& tally = TallyOf(id);
      ++(now_ - request.started <= options_.objective ? tally.in_time
                                                      : tally.late);
      requests_.erase(id);
    }
    DrainQueue(host);
  }

  void Refuse(std::uint64_t id) {
    ++TallyOf(id).refused;
    requests_.erase(id);
  }

  [[nodiscard]] CallerTally& TallyOf(std::uint64_t id) {
    const std::size_t region = hosts_[requests_.at(id).host]->region;
    return tallies_[options_.regions[region].name];
  }

  void DrainQueue(Host& host) {
    host.queue.Drain(ServiceId::Of("capture"),
                     [&](std::uint64_t id) { return TryStart(host, id); });
  }

  void DrainAll() {
    for (const auto& host : hosts_) {
      DrainQueue(*host);
      for (const std::uint64_t id : host->queue.Expire(now_))
        Refuse(id);
    }
    Schedule(now_ + kTick, [this] { DrainAll(); });
  }

  /// Reports to each host the requests of the others at each server.
  void ReportPeerUse() {
    for (const auto& host : hosts_) {
      std::map<BackendServerId, std::uint32_t> running;
      for (const auto& [id, server] : servers_)
        running[id] = 0;
      for (const auto& other : hosts_) {
        if (other == host)
          continue;
        for (const BackendUse& use : other->picker.LocalUse())
          running[use.server] += use.running;
      }
      std::vector<BackendUse> sums;
      for (const auto& [id, count] : running)
        sums.push_back({id, count});
      host->picker.OnPeerUse(sums, now_);
    }
    Schedule(now_ + kPeerUseInterval, [this] { ReportPeerUse(); });
  }

  Options options_;
  RandomSource random_;
  TimePoint now_ = TimePoint(std::chrono::hours(1));
  std::uint64_t last_event_ = 0;
  std::uint64_t last_id_ = 0;
  std::map<std::pair<TimePoint, std::uint64_t>, std::function<void()>> events_;
  std::vector<std::unique_ptr<Host>> hosts_;
  std::map<BackendServerId, Server> servers_;
  std::map<std::uint64_t, Request> requests_;
  std::map<std::string, CallerTally> tallies_;
};

}  // namespace comfreyvane::testing

#endif  // TESTS_SUPPORT_FLEET_SIMULATION_H_
