/// @file
/// Quantiles of a latency.
#ifndef COMFREYVANE_METRICS_LATENCY_SUMMARY_H_
#define COMFREYVANE_METRICS_LATENCY_SUMMARY_H_

#include <cstdint>

#include "comfreyvane/base/time.h"

namespace comfreyvane {

/// Quantiles over the last one to two windows, count and sum over all time.
struct LatencySummary {
  std::uint64_t count = 0;
  Duration sum{0};
  Duration p50{0};
  Duration p90{0};
  Duration p99{0};

  friend bool operator==(const LatencySummary&,
                         const LatencySummary&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_METRICS_LATENCY_SUMMARY_H_
