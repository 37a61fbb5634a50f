/// @file
/// Replays a traffic shift against a model of clients that cache answers and
/// measurements that lag, and prints one line a figure: name, value, unit,
/// target, ok or short.
#include <algorithm>
#include <array>
#include <cmath>
#include <cstdint>
#include <cstdio>
#include <deque>
#include <map>
#include <numeric>
#include <string>
#include <variant>
#include <vector>

#include "comfreyvane/base/random_source.h"
#include "comfreyvane/config/configuration.h"
#include "comfreyvane/steer/resource_capacity.h"
#include "comfreyvane/steer/resource_id.h"
#include "comfreyvane/steer/steering_core.h"
#include "shift_deployment.h"

namespace comfreyvane {
namespace {

constexpr int kHosts = 8;
constexpr int kMeasurementLag = 3;  // s
constexpr int kAnswerLife = 12;     // s, of which 10 s time to live
constexpr int kNaivePeriod = 5;     // s between the naive policy's steps
constexpr int kShiftStart = 30;     // s
constexpr int kFaultStart = 40;     // s
constexpr int kFaultEnd = 100;      // s
constexpr int kKnownAfter = 10;     // s, the limit of a measurement's age
constexpr int kReturn = 72;  // s until a returned site's clients are back
constexpr int kMostSeconds = 3600;  // s

enum class Fault { kNone, kMeasurementsStopped, kSiteFailed, kRegionFailed };
enum class Policy { kCore, kNaive };

struct Client {
  LookupRequest request;
  double weight = 0;  ///< Requests a second.
  int host = 0;
  SiteId site;
  SiteId last_site;
  int expires = 0;
};

using Rates = std::map<SiteId, double>;

/// One replay of a shift.
class Replay {
 public:
  struct Result {
    double over_cap = 0;       ///< Peak, in parts of kWholeShare.
    double complete_s = 0;     ///< From the declaration to the last arrival.
    double moves = 0;          ///< Changes of a client's site.
    double minimum_moves = 0;  ///< Clients that end at another site.
    int steps_in_fault = 0;
    int answers_to_failed = 0;
    double peak_use = 0;  ///< Of a resource, by what was steered.
  };

  Replay(const Deployment& deployment, Policy policy, Fault fault)
      : deployment_(deployment), policy_(policy), fault_(fault), random_(1) {
    MakeClients();
    MakeHosts();
  }

  Result Run() {
    int second = 0;
    for (; second < kMostSeconds; ++second) {
      if (second == kShiftStart)
        SetTarget();
      Measure(second);
      Control(second);
      for (auto& client : clients_)
        Ask(client, second);
      Observe(second);
      if (second > kFaultEnd && Complete() && second > done_at_ + kAnswerLife)
        break;
    }
    result_.complete_s = done_at_ + kAnswerLife - kShiftStart;
    for (const auto& client : clients_)
      result_.minimum_moves += client.site != client.last_site ? 1 : 0;
    return result_;
  }

 private:
  bool InFault(int second) const {
    return fault_ != Fault::kNone && second >= kFaultStart &&
           second < kFaultEnd;
  }

  /// Hosts know of the fault, and do not know yet that it is over.
  bool StepsWait(int second) const {
    return InFault(second) && second > kFaultStart + kKnownAfter;
  }

  void MakeClients() {
    double total = 0;
    for (std::uint32_t i = 0; i < deployment_.clients; ++i) {
      Client client;
      client.request = {.client = ClientAddress::V4(
                            (10U << 24U) + static_cast<std::uint32_t>(
                                               random_.Below(1U << 16U) << 8U)),
                        .service = kService,
                        .workspace = {}};
      client.weight = std::min(1 / (0.1 + random_.Uniform()), 8.0);
      client.host = static_cast<int>(random_.Below(kHosts));
      client.expires = static_cast<int>(random_.Below(kAnswerLife));
      total += client.weight;
      clients_.push_back(client);
    }
    for (auto& client : clients_)
      client.weight *= deployment_.clients * kRateOfClient / total;
  }

  void MakeHosts() {
    const Configuration configuration = MakeConfiguration(deployment_, 0);
    capacities_ = CapacitiesOf(configuration);
    std::vector<HostView> views;
    for (int i = 0; i < kHosts; ++i)
      views.push_back({.id = HostId::Of("host" + std::to_string(i)),
                       .incarnation = Incarnation(1),
                       .address = "192.0.2.1",
                       .caller_port = 80,
                       .failure_domain = FailureDomainId::Of("domain00")});
    for (int i = 0; i < kHosts; ++i) {
      auto& core = cores_.emplace_back(SteeringSettings{});
      core.Configure(Revision(1), configuration, {}, At(0));
      core.SetHosts(views);
      core.SetDemand(kService,
                     {.rate = static_cast<std::int64_t>(kRateOfClient * 1000),
                      .link_bits = 8000});
      for (const auto& [resource, rate] : capacities_)
        core.Grant({resource, rate / kHosts, At(kMostSeconds * 2)});
    }
    topology_ = Topology(configuration);
    for (int region = 0; region < kRegions; ++region)
      naive_share_[SiteOf(0, region)] = kShares[region];
  }

  void SetTarget() {
    for (auto& client : clients_)
      client.last_site = client.site;
    for (auto& core : cores_)
      core.Configure(Revision(2), MakeConfiguration(deployment_, 1), {},
                     At(kShiftStart));
  }

  /// Hosts learn the rates of some seconds ago.
  void Measure(int second) {
    if (history_.size() <= kMeasurementLag ||
        (InFault(second) && fault_ == Fault::kMeasurementsStopped))
      return;
    const Rates& rates = history_[history_.size() - 1 - kMeasurementLag];
    for (int provider = 0; provider < 2; ++provider) {
      for (int region = 0; region < kRegions; ++region) {
        const SiteId site = SiteOf(provider, region);
        const auto found = rates.find(site);
        const double rate = found == rates.end() ? 0 : found->second;
        for (auto& core : cores_)
          core.Observe(kService,
                       {.site = site,
                        .up = !SiteDown(site, second),
                        .rate = static_cast<std::int64_t>(rate),
                        .headroom = static_cast<std::int64_t>(
                            deployment_.clients * kRateOfClient - rate),
                        .measured_at = At(second - kMeasurementLag)},
                       At(second));
      }
    }
  }

  bool SiteDown(SiteId site, int second) const {
    if (!InFault(second))
      return false;
    if (fault_ == Fault::kSiteFailed)
      return site == SiteOf(1, 0);
    return fault_ == Fault::kRegionFailed &&
           (site == SiteOf(0, 1) || site == SiteOf(1, 1));
  }

  void Control(int second) {
    if (policy_ == Policy::kNaive)
      return ControlNaive(second);
    std::vector<FleetProgress> progress;
    for (const auto& core : cores_)
      progress.push_back(core.Shift(kService)->OwnProgress(At(second)));
    for (std::size_t i = 0; i < cores_.size(); ++i) {
      auto others = progress;
      others.erase(others.begin() + static_cast<std::ptrdiff_t>(i));
      cores_[i].ObserveFleet(kService,
                             std::accumulate(others.begin() + 1, others.end(),
                                             others.front(), Combine),
                             At(second));
    }
    for (auto& core : cores_) {
      for (const auto& action : core.Tick(At(second))) {
        const bool step = std::holds_alternative<StepTaken>(action);
        result_.steps_in_fault += step && StepsWait(second) ? 1 : 0;
        if (std::holds_alternative<ShiftCompleted>(action))
          done_at_ = second;
      }
    }
  }

  /// Moves a cap's worth at a fixed pace, as if each step arrived at once.
  void ControlNaive(int second) {
    if (second < kShiftStart || (second - kShiftStart) % kNaivePeriod != 0 ||
        done_at_ > 0)
      return;
    bool done = true;
    for (int region = 0; region < kRegions; ++region) {
      auto& old_share = naive_share_[SiteOf(0, region)];
      const double step = std::min<double>(old_share, deployment_.cap);
      old_share -= step;
      naive_share_[SiteOf(1, region)] += step;
      done = done && old_share == 0;
    }
    result_.steps_in_fault += StepsWait(second) ? 1 : 0;
    if (done)
      done_at_ = second;
  }

  SiteId NaiveSite() {
    double left = random_.Uniform() * kWholeShare;
    for (const auto& [site, share] : naive_share_) {
      if (left < share)
        return site;
      left -= share;
    }
    return naive_share_.rbegin()->first;
  }

  void Ask(Client& client, int second) {
    auto& core = cores_[static_cast<std::size_t>(client.host)];
    core.RecordArrival(client.request.client, kService,
                       static_cast<std::uint32_t>(client.weight * 100),
                       At(second));
    if (client.expires > second)
      return;
    const SiteId before = client.site;
    if (policy_ == Policy::kNaive) {
      client.site = NaiveSite();
    } else {
      const auto decision = core.Steer(client.request, At(second));
      const auto* answer = std::get_if<SteeringAnswer>(&decision.outcome);
      if (answer == nullptr)
        return;
      client.site = answer->site;
    }
    client.expires = second + kAnswerLife - static_cast<int>(random_.Below(3));
    if (second >= kShiftStart && before != client.site)
      ++result_.moves;
    if (second > kFaultStart + kMeasurementLag && SiteDown(client.site, second))
      ++result_.answers_to_failed;
  }

  bool Complete() const {
    return policy_ == Policy::kNaive ? done_at_ > 0
                                     : cores_[0].Shift(kService)->is_complete();
  }

  /// Gain of a site over one answer life, while no site is down.
  void Observe(int second) {
    Rates rates;
    Rates use;
    for (const auto& client : clients_) {
      rates[client.site] += client.weight;
      const auto* place = topology_.Find(client.site);
      if (place == nullptr)
        continue;
      const SteeringPath path = topology_.Path({}, *place);
      for (const auto& resource : {path.site, path.region})
        use[SiteId(resource.value())] += kRateOfClient * 1000;
    }
    for (const auto& [resource, rate] : capacities_)
      result_.peak_use =
          std::max(result_.peak_use,
                   use[SiteId(resource.value())] / static_cast<double>(rate));
    history_.push_back(rates);
    const bool failover =
        fault_ == Fault::kSiteFailed || fault_ == Fault::kRegionFailed;
    if (second < kShiftStart ||
        (failover && second >= kFaultStart &&
         second < kFaultEnd + kReturn + kAnswerLife + kMeasurementLag))
      return;
    const double total = deployment_.clients * kRateOfClient;
    Rates& before = history_[history_.size() - 1 - kAnswerLife];
    for (const auto& [site, rate] : rates) {
      const double gain = (rate - before[site]) / total * kWholeShare;
      result_.over_cap = std::max(result_.over_cap, gain - deployment_.cap);
    }
  }

  const ServiceId kService = ServiceId::Of("service");
  Deployment deployment_;
  Policy policy_;
  Fault fault_;
  RandomSource random_;
  std::vector<Client> clients_;
  std::deque<SteeringCore> cores_;
  Topology topology_;
  std::vector<ResourceCapacity> capacities_;
  std::map<SiteId, double> naive_share_;
  std::deque<Rates> history_;
  int done_at_ = 0;
  Result result_;
};

void Print(const std::string& name,
           double value,
           const char* unit,
           const char* target,
           bool ok) {
  std::printf("%s\t%.4g\t%s\t%s\t%s\n", name.c_str(), value, unit, target,
              ok ? "ok" : "short");
}

const char* Name(Fault fault) {
  switch (fault) {
    case Fault::kNone:
      return "calm";
    case Fault::kMeasurementsStopped:
      return "measurements_stopped";
    case Fault::kSiteFailed:
      return "site_failed";
    case Fault::kRegionFailed:
      return "region_failed";
  }
  return "unknown";
}

void Report(const Deployment& deployment, Fault fault) {
  const auto core = Replay(deployment, Policy::kCore, fault).Run();
  const auto naive = Replay(deployment, Policy::kNaive, fault).Run();
  const std::string prefix =
      std::string("shift.") + deployment.name + "." + Name(fault) + ".";
  const double ideal =
      std::ceil(double{kShares[0]} / deployment.cap) * kAnswerLife;
  Print(prefix + "over_cap", core.over_cap, "parts", "0", core.over_cap <= 0);
  Print(prefix + "over_cap_naive", naive.over_cap, "parts", "-", true);
  Print(prefix + "time_to_ideal", core.complete_s / ideal, "ratio", "-", true);
  Print(prefix + "time_to_ideal_naive", naive.complete_s / ideal, "ratio", "-",
        true);
  Print(prefix + "moves_to_minimum", core.moves / core.minimum_moves, "ratio",
        "-", true);
  Print(prefix + "moves_to_minimum_naive", naive.moves / naive.minimum_moves,
        "ratio", "-", true);
  Print(prefix + "peak_use", core.peak_use, "of capacity", "<=1",
        core.peak_use <= 1);
  if (fault == Fault::kNone)
    return;
  Print(prefix + "steps_in_fault_naive", naive.steps_in_fault, "steps", "-",
        true);
  Print(prefix + "answers_to_failed", core.answers_to_failed, "answers", "0",
        core.answers_to_failed == 0);
  Print(prefix + "answers_to_failed_naive", naive.answers_to_failed, "answers",
        "-", true);
  Print(prefix + "steps_in_fault", core.steps_in_fault, "steps", "0",
        core.steps_in_fault == 0);
}

}  // namespace
}  // namespace comfreyvane

int main() {
  using comfreyvane::Fault;
  for (const auto& deployment : comfreyvane::kDeployments) {
    for (const Fault fault : {Fault::kNone, Fault::kMeasurementsStopped,
                              Fault::kSiteFailed, Fault::kRegionFailed})
      comfreyvane::Report(deployment, fault);
  }
}
