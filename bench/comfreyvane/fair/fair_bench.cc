#include <benchmark/benchmark.h>
#include <malloc.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <deque>
#include <queue>
#include <string>
#include <vector>

#include "../limit/figure.h"
#include "comfreyvane/base/random_source.h"
#include "comfreyvane/fair/fair_queue.h"

namespace comfreyvane::bench {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t kWorkspaces = 8;
constexpr double kServiceMs = 20;
constexpr Duration kDeadline = 400ms;
constexpr Duration kRunLength = 120s;

/// One service of a deployment.
struct Pool {
  const char* name;
  std::uint32_t slots;  ///< Of all its backend servers.
};

struct Request {
  std::size_t workspace;
  TimePoint arrived;
  TimePoint deadline;
};

/// First in, first out over all workspaces, without refusals at the door.
class FifoQueue {
 public:
  void Push(const Request& request, TimePoint) { waiting_.push_back(request); }
  bool Pop(TimePoint now, Request& request) {
    while (!waiting_.empty()) {
      request = waiting_.front();
      waiting_.pop_front();
      if (now < request.deadline)
        return true;
    }
    return false;
  }
  void OnServed(Duration) {}

 private:
  std::deque<Request> waiting_;
};

class WeightedQueue {
 public:
  WeightedQueue(std::uint32_t slots, const std::vector<double>& rates)
      : queue_({.slots = slots}) {
    const double least = *std::min_element(rates.begin(), rates.end());
    for (std::size_t i = 0; i < rates.size(); ++i)
      queue_.SetWeight(WorkspaceId(i), static_cast<std::uint32_t>(
                                           std::lround(rates[i] / least)));
  }
  void Push(const Request& request, TimePoint now) {
    (void)queue_.Push(
        {WorkspaceId(request.workspace), request.deadline, true, request}, now);
  }
  bool Pop(TimePoint now, Request& request) {
    auto popped = queue_.Pop(now);
    if (popped.entry)
      request = popped.entry->item;
    return popped.entry.has_value();
  }
  void OnServed(Duration held) { queue_.OnServed(held); }

 private:
  FairQueue<Request> queue_;
};

struct Result {
  std::vector<std::vector<double>> latency_ms{kWorkspaces};
  std::vector<double> offered = std::vector<double>(kWorkspaces);
  std::vector<double> in_time = std::vector<double>(kWorkspaces);

  [[nodiscard]] double Quantile(std::size_t from, double q) const {
    std::vector<double> all;
    for (std::size_t i = from; i < kWorkspaces; ++i)
      all.insert(all.end(), latency_ms[i].begin(), latency_ms[i].end());
    std::sort(all.begin(), all.end());
    return all.empty() ? 0
                       : all[static_cast<std::size_t>(q * (all.size() - 1))];
  }
  /// @param scale what part of the first workspace's requests is in its rate.
  [[nodiscard]] double WorstServed(double scale) const {
    double worst = 100;
    for (std::size_t i = 0; i < kWorkspaces; ++i) {
      const double in_rate = offered[i] * (i == 0 ? scale : 1);
      worst = std::min(worst, 100 * std::min(in_time[i] / in_rate, 1.0));
    }
    return worst;
  }
};

/// 3 large workspaces with most of the load and 5 small ones.
std::vector<double> Rates(double total) {
  std::vector<double> rates;
  for (std::size_t i = 0; i < kWorkspaces; ++i)
    rates.push_back(total * (i < 3 ? 0.25 : 0.05));
  return rates;
}

/// Poisson callers before slots with exponential service.
/// @param first_factor what the first workspace sends, in parts of its rate.
template <typename Queue>
Result Simulate(Queue queue,
                std::uint32_t slots,
                const std::vector<double>& rates,
                double first_factor) {
  RandomSource random(7);
  Result result;
  std::vector<TimePoint> next(kWorkspaces);
  struct Done {
    TimePoint at;
    Duration held;
    bool operator<(const Done& other) const { return at > other.at; }
  };
  std::priority_queue<Done> running;
  const auto exponential = [&random](double mean_ns) {
    return Duration(
        static_cast<std::int64_t>(-std::log(1 - random.Uniform()) * mean_ns));
  };
  const auto gap = [&](std::size_t i) {
    return exponential(1e9 / (rates[i] * (i == 0 ? first_factor : 1)));
  };
  for (std::size_t i = 0; i < kWorkspaces; ++i)
    next[i] = TimePoint(gap(i));
  TimePoint now;
  while (now < TimePoint(kRunLength)) {
    const auto first = std::min_element(next.begin(), next.end());
    if (!running.empty() && running.top().at <= *first) {
      now = running.top().at;
      queue.OnServed(running.top().held);
      running.pop();
    } else {
      now = *first;
      const auto i = static_cast<std::size_t>(first - next.begin());
      result.offered[i] += 1;
      queue.Push({i, now, now + kDeadline}, now);
      *first += gap(i);
    }
    Request request;
    while (running.size() < slots && queue.Pop(now, request)) {
      const Duration held = exponential(kServiceMs * 1e6);
      running.push({now + held, held});
      const double latency = std::chrono::duration<double, std::milli>(
                                 now + held - request.arrived)
                                 .count();
      result.latency_ms[request.workspace].push_back(latency);
      if (now + held <= request.deadline)
        result.in_time[request.workspace] += 1;
    }
  }
  return result;
}

double Capacity(std::uint32_t slots) {
  return slots * 1000 / kServiceMs;
}

void Overload(const Pool& pool) {
  const auto rates = Rates(0.7 * Capacity(pool.slots));
  const std::string name = std::string("fair.") + pool.name + ".";
  const Result calm =
      Simulate(WeightedQueue(pool.slots, rates), pool.slots, rates, 1);
  const Result five =
      Simulate(WeightedQueue(pool.slots, rates), pool.slots, rates, 5);
  const Result fifo = Simulate(FifoQueue(), pool.slots, rates, 5);
  PrintFigure(name + "calm.p50", calm.Quantile(1, 0.5), "ms");
  PrintFigure(name + "calm.p99", calm.Quantile(1, 0.99), "ms");
  PrintFigure(name + "five_times.others_p50", five.Quantile(1, 0.5), "ms");
  PrintFigure(name + "five_times.others_p99", five.Quantile(1, 0.99), "ms");
  PrintFigure(name + "five_times.others_p99_over_calm",
              five.Quantile(1, 0.99) / calm.Quantile(1, 0.99), "x", "<=", 1.2);
  PrintFigure(name + "five_times.others_p99_over_calm.fifo",
              fifo.Quantile(1, 0.99) / calm.Quantile(1, 0.99), "x");
  PrintFigure(name + "five_times.worst_served", five.WorstServed(0.2), "%",
              ">=", 95);
  PrintFigure(name + "five_times.worst_served.fifo", fifo.WorstServed(0.2),
              "%");
}

/// @param load of the whole capacity, of which half is left.
void Halved(const Pool& pool, double load, double first_factor) {
  const auto rates = Rates(load * Capacity(pool.slots));
  const std::uint32_t slots = pool.slots / 2;
  const Result fair =
      Simulate(WeightedQueue(slots, rates), slots, rates, first_factor);
  const Result fifo = Simulate(FifoQueue(), slots, rates, first_factor);
  const std::string name = std::string("fair.") + pool.name + ".halved.load_" +
                           std::to_string(std::lround(100 * load)) +
                           (first_factor > 1 ? ".five_times" : "") +
                           ".worst_served";
  const double fair_worst = fair.WorstServed(1 / first_factor);
  PrintFigure(name, fair_worst, "%", ">=", 95);
  PrintFigure(name + ".fifo", fifo.WorstServed(1 / first_factor), "%");
}

void PrintPolicy() {
  for (const Pool& pool :
       {Pool{"lankavoice", 13 * 5}, Pool{"teranga", 12 * 3}}) {
    Overload(pool);
    Halved(pool, 0.40, 1);
    Halved(pool, 0.45, 1);
    Halved(pool, 0.45, 5);
    Halved(pool, 0.60, 1);
  }
}

FairQueue<int> Filled(std::uint64_t workspaces) {
  FairQueue<int> queue({.slots = 1000,
                        .max_workspace_entries = 64,
                        .max_entries = 4 * workspaces});
  for (std::uint64_t i = 0; i < workspaces; ++i)
    (void)queue.Push({WorkspaceId(i), TimePoint(1h), false, 0}, TimePoint());
  return queue;
}

void PushAndPop(benchmark::State& state) {
  const auto workspaces = static_cast<std::uint64_t>(state.range(0));
  FairQueue<int> queue = Filled(workspaces);
  std::uint64_t next = 0;
  for (auto _ : state) {
    benchmark::DoNotOptimize(
        queue.Push({WorkspaceId(++next % workspaces), TimePoint(1h), false, 0},
                   TimePoint()));
    benchmark::DoNotOptimize(queue.Pop(TimePoint()));
  }
  state.SetItemsProcessed(state.iterations());
}
BENCHMARK(PushAndPop)->Arg(100)->Arg(1000)->Arg(10000);

void PrintSlopes() {
  for (const std::uint64_t workspaces : {100, 1000, 10000}) {
    const std::size_t before = mallinfo2().uordblks;
    FairQueue<int> queue = Filled(workspaces);
    const std::size_t used = mallinfo2().uordblks - before;
    const auto start = std::chrono::steady_clock::now();
    constexpr int kRounds = 200'000;
    for (std::uint64_t i = 0; i < kRounds; ++i) {
      (void)queue.Push({WorkspaceId(i % workspaces), TimePoint(1h), false, 0},
                       TimePoint());
      (void)queue.Pop(TimePoint());
    }
    const std::chrono::duration<double, std::nano> took =
        std::chrono::steady_clock::now() - start;
    const std::string name =
        "fair.cost.workspaces_" + std::to_string(workspaces);
    PrintFigure(name + ".memory", static_cast<double>(used) / 1024, "KiB");
    PrintFigure(name + ".processor", took.count() / kRounds, "ns/request");
  }
}

}  // namespace
}  // namespace comfreyvane::bench

/// Without arguments or with --policy prints the policy figures, with --slopes
/// the costs by size; else runs the benchmarks.
int main(int argc, char** argv) {
  const std::string mode = argc > 1 ? argv[1] : "--policy";
  if (mode == "--policy") {
    comfreyvane::bench::PrintPolicy();
  } else if (mode == "--slopes") {
    comfreyvane::bench::PrintSlopes();
  } else {
    benchmark::Initialize(&argc, argv);
    benchmark::RunSpecifiedBenchmarks();
  }
  return 0;
}
