#include "comfreyvane/metrics/metrics_registry.h"

namespace comfreyvane {
namespace {

template <typename Enum>
std::size_t Index(Enum value) {
  return static_cast<std::size_t>(value);
}

}  // namespace

void MetricsRegistry::CountRefusal(RefusalReason reason) {
  refusals_.Add(Index(reason));
}

void MetricsRegistry::CountRetry(RetryReason reason) {
  retries_.Add(Index(reason));
}

void MetricsRegistry::Count(CounterName counter, std::uint64_t amount) {
  counters_.Add(Index(counter), amount);
}

void MetricsRegistry::SetGauge(GaugeName gauge, std::int64_t value) {
  gauges_[Index(gauge)].store(value, std::memory_order_relaxed);
}

void MetricsRegistry::AddToGauge(GaugeName gauge, std::int64_t change) {
  gauges_[Index(gauge)].fetch_add(change, std::memory_order_relaxed);
}

void MetricsRegistry::Record(LatencyName latency,
                             Duration value,
                             TimePoint now) {
  latencies_[Index(latency)].Record(value, now);
}

MetricsSnapshot MetricsRegistry::Snapshot(TimePoint now) const {
  MetricsSnapshot snapshot;
  snapshot.refusals = refusals_.Totals();
  snapshot.retries = retries_.Totals();
  snapshot.counters = counters_.Totals();
  for (std::size_t i = 0; i < gauges_.size(); ++i)
    snapshot.gauges[i] = gauges_[i].load(std::memory_order_relaxed);
  for (std::size_t i = 0; i < latencies_.size(); ++i)
    snapshot.latencies[i] = latencies_[i].Summary(now);
  return snapshot;
}

}  // namespace comfreyvane
