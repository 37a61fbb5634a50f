/// @file
/// All metrics of a host.
#ifndef COMFREYVANE_METRICS_METRICS_REGISTRY_H_
#define COMFREYVANE_METRICS_METRICS_REGISTRY_H_

#include <array>
#include <atomic>

#include "comfreyvane/metrics/latency_recorder.h"
#include "comfreyvane/metrics/metrics_snapshot.h"
#include "comfreyvane/metrics/sharded_counters.h"

namespace comfreyvane {

/// All metrics of a host; every member may be called from any thread. Labels
/// are enumerators only, so that neither a key nor a workspace can become one
/// and the number of series is fixed.
class MetricsRegistry {
 public:
  /// Counts a refused request or look-up.
  void CountRefusal(RefusalReason reason);

  /// Counts a repeated attempt.
  void CountRetry(RetryReason reason);

  /// Adds to a counter.
  void Count(CounterName counter, std::uint64_t amount = 1);

  /// Sets a gauge.
  void SetGauge(GaugeName gauge, std::int64_t value);

  /// Adds to a gauge; a negative change lowers it.
  void AddToGauge(GaugeName gauge, std::int64_t change);

  /// Records one latency.
  /// @param now the present time.
  void Record(LatencyName latency, Duration value, TimePoint now);

  /// @param now the present time.
  /// @return all metrics. Those that change meanwhile may be a moment apart.
  [[nodiscard]] MetricsSnapshot Snapshot(TimePoint now) const;

 private:
  ShardedCounters<kRefusalReasonCount> refusals_;
  ShardedCounters<kRetryReasonCount> retries_;
  ShardedCounters<kCounterNameCount> counters_;
  std::array<std::atomic<std::int64_t>, kGaugeNameCount> gauges_{};
  std::array<LatencyRecorder, kLatencyNameCount> latencies_;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_METRICS_METRICS_REGISTRY_H_
