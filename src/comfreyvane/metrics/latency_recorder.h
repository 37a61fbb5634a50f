/// @file
/// Recorder of one latency.
#ifndef COMFREYVANE_METRICS_LATENCY_RECORDER_H_
#define COMFREYVANE_METRICS_LATENCY_RECORDER_H_

#include <array>
#include <cstdint>
#include <mutex>

#include "comfreyvane/base/time.h"
#include "comfreyvane/metrics/latency_summary.h"
#include "comfreyvane/metrics/quantile_window.h"
#include "comfreyvane/metrics/shard.h"

namespace comfreyvane {

/// Records a latency from many threads, in shards each under its own lock. A
/// summary mixes the shards' distributions by their counts: estimates of
/// quantiles cannot be added, estimates of fractions can.
class LatencyRecorder {
 public:
  /// Quantiles forget samples that are older than two windows.
  static constexpr Duration kWindow = std::chrono::seconds(30);

  /// @param latency one sample.
  /// @param now the present time.
  void Record(Duration latency, TimePoint now);

  /// @param now the present time.
  /// @return count and sum over all time, quantiles over the last windows.
  [[nodiscard]] LatencySummary Summary(TimePoint now) const;

 private:
  struct alignas(kCacheLineBytes) Shard {
    mutable std::mutex mutex;
    std::uint64_t count = 0;
    Duration sum{0};
    std::int64_t current_number = 0;
    QuantileWindow current;
    QuantileWindow previous;
  };

  static void Rotate(Shard& shard, std::int64_t number);

  std::array<Shard, kMetricShards> shards_;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_METRICS_LATENCY_RECORDER_H_
