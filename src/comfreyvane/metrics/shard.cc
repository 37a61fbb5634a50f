#include "comfreyvane/metrics/shard.h"

#include <atomic>

namespace comfreyvane {

std::size_t ThreadShard() {
  static std::atomic<std::size_t> next{0};
  thread_local std::size_t shard =
      next.fetch_add(1, std::memory_order_relaxed) % kMetricShards;
  return shard;
}

}  // namespace comfreyvane
