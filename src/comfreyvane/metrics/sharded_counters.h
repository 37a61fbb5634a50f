/// @file
/// Counters that many threads add to.
#ifndef COMFREYVANE_METRICS_SHARDED_COUNTERS_H_
#define COMFREYVANE_METRICS_SHARDED_COUNTERS_H_

#include <array>
#include <atomic>
#include <cassert>
#include <cstddef>
#include <cstdint>

#include "comfreyvane/metrics/shard.h"

namespace comfreyvane {

/// A fixed number of counters. Each thread adds to its own shard without a
/// lock.
/// @tparam kCount how many counters.
template <std::size_t kCount>
class ShardedCounters {
 public:
  /// @param index less than kCount.
  /// @param amount added to that counter.
  void Add(std::size_t index, std::uint64_t amount = 1) {
    assert(index < kCount);
    shards_[ThreadShard()].values[index].fetch_add(amount,
                                                   std::memory_order_relaxed);
  }

  /// @return the sum over all shards, by index.
  [[nodiscard]] std::array<std::uint64_t, kCount> Totals() const {
    std::array<std::uint64_t, kCount> totals{};
    for (const Shard& shard : shards_) {
      for (std::size_t i = 0; i < kCount; ++i)
        totals[i] += shard.values[i].load(std::memory_order_relaxed);
    }
    return totals;
  }

 private:
  struct alignas(kCacheLineBytes) Shard {
    std::array<std::atomic<std::uint64_t>, kCount> values{};
  };

  std::array<Shard, kMetricShards> shards_;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_METRICS_SHARDED_COUNTERS_H_
