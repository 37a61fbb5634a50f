/// @file
/// A fleet of hosts and backend servers under load, in virtual time.
#ifndef TESTS_SUPPORT_EDGE_DAY_H_
#define TESTS_SUPPORT_EDGE_DAY_H_

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
#include "support/modelled_server.h"

namespace comfreyvane::testing {

/// What callers got.
struct CallerTally {
  int in_time = 0;
  int late = 0;
  int refused = 0;
  int ran_warm = 0;
  int ran_cold = 0;

  [[nodiscard]] int asked() const { return in_time + late + refused; }
  [[nodiscard]] double in_time_part() const {
    return static_cast<double>(in_time) / std::max(1, asked());
  }
  [[nodiscard]] double warm_part() const {
    return static_cast<double>(ran_warm) / std::max(1, ran_warm + ran_cold);
  }

  friend bool operator==(const CallerTally&, const CallerTally&) = default;
};

/// Plays a load with the real decisions of each host. Hosts see the servers'
/// load with each answer, and each other's use twice a second.
class EdgeDay {
 public:
  struct Region {
    std::string name;
    int hosts = 3;
    int servers = 10;
    double rate = 60.0;  ///< Requests/s of its callers.
  };
  struct Terms {
    std::vector<Region> regions;
    ModelledServer::Terms server{};
    int objects = 53;  ///< Of each region.
    Duration objective = std::chrono::milliseconds(600);
    Duration patience = std::chrono::milliseconds(2500);
    Duration far_delay = std::chrono::milliseconds(40);  ///< Both ways.
    double max_shift = 0.15;
    std::uint64_t seed = 1;
  };

  explicit EdgeDay(const Terms& terms) : terms_(terms), random_(terms.seed) {
    std::unordered_map<FailureDomainId, RegionId> domains;
    for (const Region& region : terms_.regions)
      domains.emplace(FailureDomainId::Of(region.name + "-a"),
                      RegionId::Of(region.name));
    for (std::size_t i = 0; i < terms_.regions.size(); ++i)
      AddRegion(i, domains);
    for (std::size_t i = 0; i < terms_.regions.size(); ++i)
      PlanArrival(i);
    Tell();
    Drain();
  }

  /// Plays on.
  /// @return what callers of each region got whose requests ended meanwhile.
  std::map<std::string, CallerTally> Play(Duration span) {
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
    ModelledServer model;
  };
  struct Request {
    std::size_t host;
    TimePoint started;
    PickRequest pick;
    BackendChoice choice{};
    TimePoint sent{};
  };

  static constexpr Duration kTick = std::chrono::milliseconds(50);
  static constexpr Duration kTellInterval = std::chrono::milliseconds(500);

  void At(TimePoint when, std::function<void()> event) {
    events_.emplace(std::pair(when, ++order_), std::move(event));
  }

  void AddRegion(std::size_t index,
                 const std::unordered_map<FailureDomainId, RegionId>& domains) {
    const Region& region = terms_.regions[index];
    const auto domain = FailureDomainId::Of(region.name + "-a");
    for (int i = 0; i < region.servers; ++i) {
      BackendEntry entry;
      entry.name = region.name + "-s" + std::to_string(i) + '-' +
                   std::to_string(terms_.seed);
      entry.service = ServiceId::Of("capture");
      entry.failure_domain = domain;
      entry.slots = static_cast<std::uint32_t>(terms_.server.slots);
      const BackendServerId id = entry.id();
      servers_.emplace(id, Server{entry, index, ModelledServer(terms_.server)});
    }
    for (int i = 0; i < region.hosts; ++i) {
      hosts_.push_back(std::make_unique<Host>(
          Host{index, BackendPicker({domain, RegionId::Of(region.name)},
                                    domains, terms_.max_shift)}));
    }
    for (const auto& host : hosts_) {
      for (const auto& [id, server] : servers_)
        host->picker.Upsert(server.entry, now_);
    }
  }

  void PlanArrival(std::size_t region) {
    const double gap =
        -std::log(1.0 - random_.Uniform()) / terms_.regions[region].rate;
    At(now_ + std::chrono::duration_cast<Duration>(
                  std::chrono::duration<double>(gap)),
       [this, region] {
         Arrive(region);
         PlanArrival(region);
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
        random_.Below(static_cast<std::uint64_t>(terms_.objects));
    request.pick.objective = terms_.objective;
    request.pick.deadline = now_ + terms_.patience;
    const std::uint64_t id = ++last_id_;
    requests_.emplace(id, request);
    Host& host = *hosts_[request.host];
    DrainQueue(host);
    if (TryStart(host, id))
      return;
    const TimePoint give_up = WaitDeadline(
        {now_, terms_.objective, host.picker.ExpectedWarm(request.pick),
         request.pick.deadline});
    if (now_ + host.queue.ExpectedWait(request.pick.service, {}) > give_up)
      Refuse(id);
    else
      host.queue.Push(request.pick.service, {}, id, give_up);
  }

  bool TryStart(Host& host, std::uint64_t id) {
    Request& request = requests_.at(id);
    const auto choice = host.picker.Pick(request.pick, now_);
    if (!choice || !host.picker.OnStarted(*choice, now_))
      return false;
    request.choice = *choice;
    request.sent = now_;
    At(now_ + Delay(*choice), [this, id] { Reach(id); });
    return true;
  }

  [[nodiscard]] Duration Delay(const BackendChoice& choice) const {
    return choice.distance == Distance::kOtherRegion ? terms_.far_delay / 2
                                                     : Duration::zero();
  }

  void Reach(std::uint64_t id) {
    const Request& request = requests_.at(id);
    Server& server = servers_.at(request.choice.server);
    if (server.model.Accept({id, request.pick.object}))
      BeginRuns(server);
    else
      End(id, RequestOutcome::kShed);
  }

  void BeginRuns(Server& server) {
    while (const auto run = server.model.Begin()) {
      CallerTally& tally = TallyOf(run->id);
      ++(run->warm ? tally.ran_warm : tally.ran_cold);
      At(now_ + run->work, [this, &server, id = run->id] {
        server.model.End();
        BeginRuns(server);
        const LoadReport load = server.model.load();
        At(now_ + Delay(requests_.at(id).choice), [this, id, load] {
          const Request& request = requests_.at(id);
          hosts_[request.host]->picker.OnLoad(request.choice.server, load,
                                              now_);
          End(id, RequestOutcome::kOk);
        });
      });
    }
  }

  void End(std::uint64_t id, RequestOutcome outcome) {
    const Request request = requests_.at(id);
    Host& host = *hosts_[request.host];
    host.picker.OnFinished(request.choice, request.pick, outcome,
                           now_ - request.sent, 1500, now_);
    host.queue.OnReleased(request.pick.service, now_);
    if (outcome == RequestOutcome::kShed) {
      Refuse(id);
    } else {
      CallerTally& tally = TallyOf(id);
      ++(now_ - request.started <= terms_.objective ? tally.in_time
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
    return tallies_[terms_.regions[region].name];
  }

  void DrainQueue(Host& host) {
    host.queue.Drain(ServiceId::Of("capture"),
                     [&](std::uint64_t id) { return TryStart(host, id); });
  }

  void Drain() {
    for (const auto& host : hosts_) {
      DrainQueue(*host);
      for (const std::uint64_t id : host->queue.Expire(now_))
        Refuse(id);
    }
    At(now_ + kTick, [this] { Drain(); });
  }

  /// Tells each host what the others run at each server.
  void Tell() {
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
    At(now_ + kTellInterval, [this] { Tell(); });
  }

  Terms terms_;
  RandomSource random_;
  TimePoint now_ = TimePoint(std::chrono::hours(1));
  std::uint64_t order_ = 0;
  std::uint64_t last_id_ = 0;
  std::map<std::pair<TimePoint, std::uint64_t>, std::function<void()>> events_;
  std::vector<std::unique_ptr<Host>> hosts_;
  std::map<BackendServerId, Server> servers_;
  std::map<std::uint64_t, Request> requests_;
  std::map<std::string, CallerTally> tallies_;
};

}  // namespace comfreyvane::testing

#endif  // TESTS_SUPPORT_EDGE_DAY_H_
