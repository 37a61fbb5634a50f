#include <benchmark/benchmark.h>

#include <atomic>
#include <chrono>
#include <string>
#include <thread>
#include <vector>

#include "comfreyvane/limit/sharded_limits.h"
#include "figure.h"
#include "policy_figures.h"

namespace comfreyvane::bench {
namespace {

using namespace std::chrono_literals;

constexpr std::uint32_t kShards = 64;
constexpr std::uint32_t kWorkspaces = 1000;
constexpr int kBatch = 1 << 12;

std::vector<Limit> SomeLimits(std::uint32_t count) {
  std::vector<Limit> limits;
  for (std::uint32_t i = 0; i < count; ++i)
    limits.push_back({LimitId::Of(std::to_string(i)), 1'000'000, 1'000'000});
  return limits;
}

ShardedLimits MakeLimits(const std::vector<Limit>& limits) {
  ShardedLimits sharded({HostId(1000), Incarnation(1), 0, {}}, kShards,
                        TimePoint());
  sharded.OnLimits(limits, Revision(1), TimePoint());
  for (std::uint32_t i = 0; i < kShards; ++i) {
    sharded.With(i, [](LimitShard& shard) {
      shard.OnOwnShare({kTotalUnits, TimePoint(1000h), 0, {}}, TimePoint());
    });
  }
  return sharded;
}

TimePoint Now() {
  return TimePoint(std::chrono::duration_cast<Duration>(
      std::chrono::steady_clock::now().time_since_epoch()));
}

void Admit(benchmark::State& state) {
  const auto limits = SomeLimits(static_cast<std::uint32_t>(state.range(0)));
  ShardedLimits sharded = MakeLimits(limits);
  std::size_t next = 0;
  for (auto _ : state) {
    benchmark::DoNotOptimize(sharded.TryTake(limits[next].id, 1, Now()));
    next = next + 7 < limits.size() ? next + 7 : next + 7 - limits.size();
  }
  state.SetItemsProcessed(state.iterations());
}
BENCHMARK(Admit)->Arg(100)->Arg(1000)->Arg(10000);

/// @param apart each thread serves the workspaces of its own shards.
/// @return admissions a second over all threads, each with the clock read.
double AdmissionsASecond(int threads, bool apart) {
  const auto limits = SomeLimits(kWorkspaces);
  ShardedLimits sharded = MakeLimits(limits);
  std::atomic<bool> stop = false;
  std::atomic<std::uint64_t> done = 0;
  std::vector<std::thread> workers;
  const auto start = std::chrono::steady_clock::now();
  for (int t = 0; t < threads; ++t) {
    workers.emplace_back([&, t] {
      std::vector<LimitId> ids;
      for (const Limit& limit : limits) {
        if (!apart ||
            static_cast<int>(sharded.ShardOf(limit.id)) % threads == t)
          ids.push_back(limit.id);
      }
      std::size_t next = static_cast<std::size_t>(t) * 251;
      std::uint64_t own = 0;
      while (!stop) {
        for (int i = 0; i < kBatch; ++i, next += 7)
          own += sharded.TryTake(ids[next % ids.size()], 1, Now()).admitted ? 1
                                                                            : 0;
      }
      done += own;
    });
  }
  std::this_thread::sleep_for(2s);
  stop = true;
  for (std::thread& worker : workers)
    worker.join();
  const std::chrono::duration<double> took =
      std::chrono::steady_clock::now() - start;
  return static_cast<double>(done) / took.count();
}

void PrintThroughput() {
  const double one = AdmissionsASecond(1, false);
  const double four = AdmissionsASecond(4, false);
  const double apart = AdmissionsASecond(4, true);
  PrintFigure("limit.admissions.one_core", one, "1/s", ">=", 1e6);
  PrintFigure("limit.admissions.four_threads_over_one", four / one, "x",
              ">=", 3);
  PrintFigure("limit.admissions.four_threads_own_shards_over_one", apart / one,
              "x", ">=", 3);
}

}  // namespace
}  // namespace comfreyvane::bench

/// Without arguments prints the throughput figures; with --policy the policy
/// figures, with --slopes the costs by size; else runs the benchmarks.
int main(int argc, char** argv) {
  const std::string mode = argc > 1 ? argv[1] : "";
  if (mode.empty()) {
    comfreyvane::bench::PrintThroughput();
  } else if (mode == "--policy") {
    comfreyvane::bench::PrintPolicy();
  } else if (mode == "--slopes") {
    comfreyvane::bench::PrintSlopes();
  } else {
    benchmark::Initialize(&argc, argv);
    benchmark::RunSpecifiedBenchmarks();
  }
  return 0;
}
