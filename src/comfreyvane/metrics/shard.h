/// @file
/// Which shard of the metrics a thread uses.
#ifndef COMFREYVANE_METRICS_SHARD_H_
#define COMFREYVANE_METRICS_SHARD_H_

#include <cstddef>

namespace comfreyvane {

/// Shards of each metric.
inline constexpr std::size_t kMetricShards = 16;

/// Keeps the shards of two threads off the same cache line.
inline constexpr std::size_t kCacheLineBytes = 64;

/// @return the calling thread's shard, less than kMetricShards. Threads take
///         shards in turn.
[[nodiscard]] std::size_t ThreadShard();

}  // namespace comfreyvane

#endif  // COMFREYVANE_METRICS_SHARD_H_
