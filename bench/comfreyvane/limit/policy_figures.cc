#include "policy_figures.h"

#include <malloc.h>

#include <chrono>
#include <cmath>
#include <functional>
#include <string>
#include <vector>

#include "../../../tests/support/limit_fleet.h"
#include "comfreyvane/limit/admission_bucket.h"
#include "figure.h"

namespace comfreyvane::bench {
namespace {

using namespace std::chrono_literals;
using testing::LimitFleet;

constexpr std::uint32_t kHosts = 8;
constexpr double kLoad = 0.9;
constexpr double kSteadyTarget = 0.1;  ///< Percent.
constexpr double kMoveTarget = 1;      ///< Percent, in the 3 s after a move.
constexpr double kWriteTarget = 10;    ///< Writes a second.

struct Deployment {
  const char* name;
  std::uint32_t large;  ///< Rate of each of 3 large workspaces.
  std::uint32_t small;  ///< Rate of each of 5 small workspaces.
  Duration same_region_latency;
};

/// The share of tokens refused, of one workspace or of all.
struct Counts {
  std::vector<double> offered = std::vector<double>(8);
  std::vector<double> refused = std::vector<double>(8);

  [[nodiscard]] double Worst() const {
    double worst = 0;
    for (std::size_t i = 0; i < offered.size(); ++i)
      worst = std::max(worst, 100 * refused[i] / std::max(offered[i], 1.0));
    return worst;
  }
  [[nodiscard]] double All() const {
    double offered_sum = 0;
    double refused_sum = 0;
    for (std::size_t i = 0; i < offered.size(); ++i) {
      offered_sum += offered[i];
      refused_sum += refused[i];
    }
    return 100 * refused_sum / std::max(offered_sum, 1.0);
  }
};

/// Where a workspace's next caller goes.
using Spread = std::function<std::uint32_t(std::size_t workspace)>;

/// Poisson callers over a fleet, beside a static equal share.
class Run {
 public:
  Run(const Deployment& deployment, std::uint64_t seed)
      : random_(seed), fleet_(FleetOptions(deployment, seed)) {
    for (std::uint32_t i = 0; i < 8; ++i) {
      const bool large = i < 3;
      const std::uint32_t rate = large ? deployment.large : deployment.small;
      limits_.push_back({LimitId(500 + i), rate, large ? rate : 2 * rate});
    }
    for (std::uint32_t i = 0; i < kHosts; ++i) {
      fleet_.SetLimits(i, limits_, Revision(1));
      for (const Limit& limit : limits_) {
        AdmissionBucket bucket(limit, TimePoint());
        bucket.SetSlice(9, {kTotalUnits / kHosts, kTotalUnits / kHosts},
                        TimePoint::max(), TimePoint());
        fixed_.push_back(bucket);
      }
    }
    Calls(30s, Even());
  }

  LimitFleet& fleet() { return fleet_; }
  RandomSource& random() { return random_; }
  [[nodiscard]] const Counts& baseline() const { return baseline_; }

  Spread Even() {
    return [this](std::size_t) {
      for (;;) {
        const auto host = static_cast<std::uint32_t>(random_.Below(kHosts));
        if (fleet_.host(host).alive)
          return host;
      }
    };
  }
  static Spread One(std::uint32_t host) {
    return [host](std::size_t) { return host; };
  }
  Spread Skewed() {
    return [this](std::size_t workspace) {
      const double u = random_.Uniform();
      const std::uint64_t host = u < 0.5    ? workspace
                                 : u < 0.75 ? workspace + 1
                                            : random_.Below(kHosts);
      return static_cast<std::uint32_t>(host % kHosts);
    };
  }

  /// Lets callers come for a while at kLoad of each workspace's rate.
  Counts Calls(Duration length, const Spread& spread) {
    Counts counts;
    baseline_ = {};
    const TimePoint end = fleet_.now() + length;
    std::vector<TimePoint> next(limits_.size());
    for (std::size_t i = 0; i < next.size(); ++i)
      next[i] = fleet_.now() + Gap(i);
    for (;;) {
      const auto first = std::min_element(next.begin(), next.end());
      if (*first >= end)
        break;
      const auto workspace = static_cast<std::size_t>(first - next.begin());
      fleet_.RunUntil(*first);
      Call(workspace, spread(workspace), counts);
      *first += Gap(workspace);
    }
    fleet_.RunUntil(end);
    return counts;
  }

 private:
  static LimitFleet::Options FleetOptions(const Deployment& deployment,
                                          std::uint64_t seed) {
    LimitFleet::Options options;
    options.hosts = kHosts;
    options.seed = seed;
    options.same_region_latency = deployment.same_region_latency;
    options.clock_error = 0.0001;
    return options;
  }

  Duration Gap(std::size_t workspace) {
    const double mean = 1e9 / (limits_[workspace].rate * kLoad);
    return Duration(
        static_cast<std::int64_t>(-std::log(1 - random_.Uniform()) * mean));
  }

  void Call(std::size_t workspace, std::uint32_t host, Counts& counts) {
    counts.offered[workspace] += 1;
    baseline_.offered[workspace] += 1;
    AdmissionBucket& fixed = fixed_[host * limits_.size() + workspace];
    if (!fixed.TryTake(1, fleet_.now()).admitted)
      baseline_.refused[workspace] += 1;
    if (!fleet_.TryTake(host, limits_[workspace].id).admitted)
      counts.refused[workspace] += 1;
  }

  RandomSource random_;
  LimitFleet fleet_;
  std::vector<Limit> limits_;
  std::vector<AdmissionBucket> fixed_;
  Counts baseline_;
};

class Report {
 public:
  Report(std::string name, Run& run) : name_(std::move(name)), run_(run) {}

  void Steady(const char* what, Duration length, const Spread& spread) {
    const Counts counts = run_.Calls(length, spread);
    Print(what, counts, kSteadyTarget);
  }
  /// All callers move to one host after another, 40 s apart.
  void Moves(const char* what, int moves) {
    Counts after;
    double worst = 0;
    double baseline = 0;
    for (int i = 0; i < moves; ++i) {
      const auto host = static_cast<std::uint32_t>(3 * i % kHosts);
      const Counts counts = run_.Calls(3s, Run::One(host));
      worst = std::max(worst, counts.All());
      for (std::size_t k = 0; k < counts.offered.size(); ++k) {
        after.offered[k] += counts.offered[k];
        after.refused[k] += counts.refused[k];
      }
      baseline += run_.baseline().All() / moves;
      (void)run_.Calls(37s, Run::One(host));
    }
    Figure(what, "worst_workspace", after.Worst(), kMoveTarget);
    Figure(what, "worst_move", worst, kMoveTarget);
    PrintFigure(name_ + what + ".static_share", baseline, "%");
  }
  void Print(const char* what, const Counts& counts, double target) {
    Figure(what, "worst_workspace", counts.Worst(), target);
    PrintFigure(name_ + what + ".static_share", run_.baseline().Worst(), "%");
  }
  void Plain(const char* what, const Counts& counts) {
    PrintFigure(name_ + what, counts.All(), "%");
    PrintFigure(name_ + what + ".static_share", run_.baseline().All(), "%");
  }
  void Writes(const char* what, std::uint64_t writes, double seconds) {
    PrintFigure(name_ + what, static_cast<double>(writes) / seconds, "1/s",
                "<=", kWriteTarget);
  }

 private:
  void Figure(const char* what, const char* part, double value, double target) {
    PrintFigure(name_ + what + "." + part, value, "%", "<=", target);
  }

  std::string name_;
  Run& run_;
};

void Calm(const Deployment& deployment) {
  Run run(deployment, 11);
  Report report(std::string("limit.") + deployment.name + ".", run);
  const std::uint64_t writes = run.fleet().store().writes;
  const TimePoint start = run.fleet().now();
  report.Steady("steady.even", 60s, run.Even());
  (void)run.Calls(10s, run.Skewed());
  report.Steady("steady.skewed", 60s, run.Skewed());
  (void)run.Calls(10s, Run::One(4));
  report.Steady("steady.one_host", 60s, Run::One(4));
  report.Moves("moved", 12);
  report.Writes(
      "store_writes", run.fleet().store().writes - writes,
      std::chrono::duration<double>(run.fleet().now() - start).count());
}

void StoreDown(const Deployment& deployment) {
  Run run(deployment, 12);
  Report report(std::string("limit.") + deployment.name + ".", run);
  run.fleet().store().up = false;
  run.fleet().RunUntil(run.fleet().now() + 60min);
  (void)run.Calls(30s, run.Even());
  report.Steady("store_down.even", 60s, run.Even());
  report.Moves("store_down.moved", 8);
  report.Steady("store_down.one_host", 60s, Run::One(5));
}

void Faults(const Deployment& deployment) {
  Run run(deployment, 13);
  Report report(std::string("limit.") + deployment.name + ".", run);
  run.fleet().loss = 0.1;
  (void)run.Calls(10s, run.Even());
  report.Steady("loss_10pc.even", 60s, run.Even());
  report.Moves("loss_10pc.moved", 8);
  run.fleet().loss = 0;
  run.fleet().store().reply_loss = 0.5;
  run.fleet().store().latency = 2s;
  report.Steady("store_slow.one_host", 60s, Run::One(2));
  run.fleet().store().up = false;
  (void)run.Calls(10s, run.Even());
  run.fleet().Kill(2);
  report.Plain("host_death.first_3s", run.Calls(3s, run.Even()));
  (void)run.Calls(7s, run.Even());
  report.Steady("host_death.after_10s", 60s, run.Even());
  (void)run.Calls(10s, Run::One(3));
  run.fleet().Kill(3);
  report.Plain("busiest_death.first_3s", run.Calls(3s, Run::One(4)));
  (void)run.Calls(7s, Run::One(4));
  report.Steady("busiest_death.after_10s", 60s, Run::One(4));
}

void Partition(const Deployment& deployment) {
  Run run(deployment, 14);
  Report report(std::string("limit.") + deployment.name + ".", run);
  run.fleet().connected = [](std::uint32_t a, std::uint32_t b) {
    return (a % 3 == 0) == (b % 3 == 0);
  };
  (void)run.Calls(10s, run.Even());
  report.Plain("region_cut.even", run.Calls(60s, run.Even()));
  run.fleet().connected = [](std::uint32_t a, std::uint32_t b) {
    return a == b || (a != 1 && b != 1);
  };
  (void)run.Calls(10s, run.Even());
  report.Plain("host_cut.even", run.Calls(60s, run.Even()));
  run.fleet().connected = [](std::uint32_t, std::uint32_t) { return true; };
  (void)run.Calls(10s, run.Even());
  report.Steady("healed.even", 60s, run.Even());
  run.fleet().Stop(6);
  report.Plain("planned_stop.first_3s", run.Calls(3s, [&run](std::size_t) {
    const auto host = static_cast<std::uint32_t>(run.random().Below(7));
    return host == 6 ? 7 : host;
  }));
}

struct Cost {
  double memory = 0;    ///< Bytes a host.
  double cpu = 0;       ///< Microseconds a second a host.
  double messages = 0;  ///< Sent a second a host.
};

Cost Measure(std::uint32_t hosts, std::uint32_t workspaces, int seconds) {
  const std::size_t before = mallinfo2().uordblks;
  LimitFleet::Options options;
  options.hosts = hosts;
  LimitFleet fleet(options);
  std::vector<Limit> limits;
  for (std::uint32_t i = 0; i < workspaces; ++i)
    limits.push_back({LimitId(500 + i), 100, 100});
  for (std::uint32_t i = 0; i < hosts; ++i)
    fleet.SetLimits(i, limits, Revision(1));
  const auto some_calls = [&] {
    for (std::uint32_t i = 0; i < workspaces; ++i)
      (void)fleet.TryTake(i % hosts, limits[i].id);
  };
  for (int i = 0; i < 10; ++i) {
    some_calls();
    fleet.RunUntil(fleet.now() + 1s);
  }
  const std::uint64_t messages = fleet.messages;
  const auto start = std::chrono::steady_clock::now();
  for (int i = 0; i < seconds; ++i) {
    some_calls();
    fleet.RunUntil(fleet.now() + 1s);
  }
  const std::chrono::duration<double, std::micro> took =
      std::chrono::steady_clock::now() - start;
  const double host_seconds = static_cast<double>(hosts) * seconds;
  return {static_cast<double>(mallinfo2().uordblks - before) / hosts,
          took.count() / host_seconds,
          static_cast<double>(fleet.messages - messages) / host_seconds};
}

}  // namespace

void PrintPolicy() {
  for (const Deployment& deployment :
       {Deployment{"lankavoice", 3000, 300, 1ms},
        Deployment{"teranga", 1500, 150, 800us}}) {
    Calm(deployment);
    StoreDown(deployment);
    Faults(deployment);
    Partition(deployment);
  }
}

void PrintSlopes() {
  struct Size {
    std::uint32_t hosts;
    std::uint32_t workspaces;
    int seconds;
  };
  for (const Size& size : {Size{8, 100, 5}, Size{8, 1000, 3}, Size{8, 10000, 1},
                           Size{32, 100, 3}, Size{128, 100, 1}}) {
    const Cost cost = Measure(size.hosts, size.workspaces, size.seconds);
    const std::string name = "limit.cost.hosts_" + std::to_string(size.hosts) +
                             ".workspaces_" + std::to_string(size.workspaces);
    PrintFigure(name + ".memory", cost.memory / 1024, "KiB/host");
    PrintFigure(name + ".processor", cost.cpu, "us/s/host");
    PrintFigure(name + ".messages", cost.messages, "1/s/host");
  }
}

}  // namespace comfreyvane::bench
