/// @file
/// All metrics at one moment.
#ifndef COMFREYVANE_METRICS_METRICS_SNAPSHOT_H_
#define COMFREYVANE_METRICS_METRICS_SNAPSHOT_H_

#include <array>
#include <cstdint>

#include "comfreyvane/base/refusal_reason.h"
#include "comfreyvane/base/retry_reason.h"
#include "comfreyvane/metrics/counter_name.h"
#include "comfreyvane/metrics/gauge_name.h"
#include "comfreyvane/metrics/latency_name.h"
#include "comfreyvane/metrics/latency_summary.h"

namespace comfreyvane {

/// All metrics, each indexed by its enumerator.
struct MetricsSnapshot {
  std::array<std::uint64_t, kRefusalReasonCount> refusals{};
  std::array<std::uint64_t, kRetryReasonCount> retries{};
  std::array<std::uint64_t, kCounterNameCount> counters{};
  std::array<std::int64_t, kGaugeNameCount> gauges{};
  std::array<LatencySummary, kLatencyNameCount> latencies{};

  friend bool operator==(const MetricsSnapshot&,
                         const MetricsSnapshot&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_METRICS_METRICS_SNAPSHOT_H_
