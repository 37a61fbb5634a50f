#include <benchmark/benchmark.h>

#include <chrono>
#include <cstring>
#include <string>
#include <vector>

#include "comfreyvane/route/route_core.h"
#include "comfreyvane/route/server_subset.h"
#include "figure.h"
#include "heap_count.h"
#include "route_figures.h"

namespace comfreyvane::bench {
namespace {

constexpr double kChoicesASecond = 500000;
constexpr TimePoint kStart = TimePoint(std::chrono::hours(1));
constexpr Duration kStep = std::chrono::microseconds(2);
constexpr int kRunning = 20;

std::vector<RouteServer> Servers(int count) {
  std::vector<RouteServer> servers;
  for (int i = 0; i < count; ++i) {
    servers.push_back({.id = BackendServerId::Of("server-" + std::to_string(i)),
                       .site = SiteId::Of("site-" + std::to_string(i % 6)),
                       .region = RegionId::Of("region"),
                       .distance = static_cast<Distance>(i % 3),
                       .slots = 3 + static_cast<std::uint32_t>(i % 5),
                       .connection_quota = 14});
  }
  return servers;
}

/// Chooses, starts and ends requests with some always running.
class Choosing {
 public:
  Choosing(int servers, bool affinity)
      : core_(ServiceId::Of("service"), RouteLimits{}, 1), affinity_(affinity) {
    core_.OnServers(Servers(servers), kStart);
  }

  void One() {
    now_ += kStep;
    ++count_;
    RouteRequest request{.idempotent = true};
    if (affinity_)
      request.affinity = RequestId(count_ % 1000 * 0x9e3779b97f4a7c15ULL);
    const auto choice = core_.Choose(request, now_);
    if (!choice || !core_.TryStart(choice->server, false, now_))
      return;
    running_.push_back(choice->server);
    if (running_.size() < kRunning)
      return;
    const std::size_t oldest = count_ % kRunning;
    core_.Finish(running_[oldest], RequestOutcome::kOk,
                 std::chrono::milliseconds(10), now_);
    running_[oldest] = running_.back();
    running_.pop_back();
  }

 private:
  RouteCore core_;
  bool affinity_;
  TimePoint now_ = kStart;
  std::uint64_t count_ = 0;
  std::vector<BackendServerId> running_;
};

void BM_Choose(benchmark::State& state) {
  Choosing choosing(static_cast<int>(state.range(0)), state.range(1) != 0);
  for ([[maybe_unused]] auto _ : state)
    choosing.One();
  state.SetItemsProcessed(state.iterations());
}
BENCHMARK(BM_Choose)->ArgsProduct({{12, 50, 200}, {0, 1}});

void BM_DivideServers(benchmark::State& state) {
  std::vector<SubsetHost> hosts;
  for (int i = 0; i < state.range(0); ++i)
    hosts.push_back(
        {HostId::Of("host-" + std::to_string(i)), FailureDomainId(1 + i % 34)});
  std::vector<SubsetServer> servers;
  for (int i = 0; i < 200; ++i)
    servers.push_back({BackendServerId::Of("server-" + std::to_string(i)),
                       FailureDomainId(1 + i % 34), 300});
  for ([[maybe_unused]] auto _ : state)
    benchmark::DoNotOptimize(ServerSubset::Divide(hosts[0].id, hosts, servers));
}
BENCHMARK(BM_DivideServers)->Arg(8)->Arg(400)->Arg(2900);

/// @return nanoseconds a choice with its start and end.
double TimeOfChoice(int servers, bool affinity) {
  constexpr int kChoices = 1000000;
  Choosing choosing(servers, affinity);
  const auto start = std::chrono::steady_clock::now();
  for (int i = 0; i < kChoices; ++i)
    choosing.One();
  const std::chrono::duration<double, std::nano> took =
      std::chrono::steady_clock::now() - start;
  return took.count() / kChoices;
}

double HeapOf(int servers) {
  const std::size_t before = HeapInUse();
  const Choosing choosing(servers, false);
  return static_cast<double>(HeapInUse() - before);
}

void PrintSlopes() {
  for (const int servers : {12, 50, 200}) {
    const std::string name = "route.core." + std::to_string(servers);
    PrintFigure(name + ".heap", HeapOf(servers), "B");
    PrintFigure(name + ".choice", TimeOfChoice(servers, false), "ns");
    PrintFigure(name + ".choice-affinity", TimeOfChoice(servers, true), "ns");
  }
  PrintAtLeast("route.choices.50", 1e9 / TimeOfChoice(50, false), "choices/s",
               kChoicesASecond);
  PrintAtLeast("route.choices.50.affinity", 1e9 / TimeOfChoice(50, true),
               "choices/s", kChoicesASecond);
}

}  // namespace
}  // namespace comfreyvane::bench

/// With --figures prints one line a figure; otherwise runs the benchmarks.
int main(int argc, char** argv) {
  if (argc == 2 && std::strcmp(argv[1], "--figures") == 0) {
    comfreyvane::bench::PrintSlopes();
    comfreyvane::bench::RunRouteExperiment();
    return 0;
  }
  benchmark::Initialize(&argc, argv);
  benchmark::RunSpecifiedBenchmarks();
  return 0;
}
