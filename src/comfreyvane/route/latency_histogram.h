/// @file
/// Histogram of recent latencies.
#ifndef COMFREYVANE_ROUTE_LATENCY_HISTOGRAM_H_
#define COMFREYVANE_ROUTE_LATENCY_HISTOGRAM_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

#include "comfreyvane/base/time.h"

namespace comfreyvane {

/// Histogram of recent latencies with four buckets per octave. The weight of
/// old samples decays: all counts are halved when they add up to twice
/// kHalvingSamples.
class LatencyHistogram {
 public:
  static constexpr std::size_t kBuckets = 128;
  static constexpr std::uint64_t kHalvingSamples = 4096;

  void Add(Duration latency);
  /// @param rank 0 to 1; 0.99 is the 99th percentile.
  /// @return an upper bound of the quantile; empty if there are too few
  ///     samples.
  [[nodiscard]] std::optional<Duration> Quantile(double rank) const;
  [[nodiscard]] std::uint64_t samples() const { return samples_; }

 private:
  std::array<std::uint32_t, kBuckets> counts_{};
  std::uint64_t samples_ = 0;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_ROUTE_LATENCY_HISTOGRAM_H_
