/// @file
/// Thread-safe set of LimitShards.
#ifndef COMFREYVANE_LIMIT_SHARDED_LIMITS_H_
#define COMFREYVANE_LIMIT_SHARDED_LIMITS_H_

#include <cstdint>
#include <memory>
#include <mutex>
#include <span>
#include <utility>
#include <vector>

#include "comfreyvane/limit/limit_shard.h"

namespace comfreyvane {

/// All LimitShards of a host, each with its own lock. The only thread-safe
/// class of this package.
class ShardedLimits {
 public:
  /// @param shards a power of two, the same on all hosts.
  ShardedLimits(const LimitShard::Options& options,
                std::uint32_t shards,
                TimePoint now);

  /// Takes tokens of a limit from its shard. See LimitShard::TryTake.
  [[nodiscard]] Admission TryTake(LimitId limit,
                                  std::int64_t cost,
                                  TimePoint now);

  /// Distributes the limits over the shards. See LimitShard::OnLimits.
  void OnLimits(std::span<const Limit> limits,
                Revision revision,
                TimePoint now);

  /// Calls `work(LimitShard&)` for one shard while holding its lock.
  template <typename Work>
  auto With(std::uint32_t shard, Work&& work) {
    Slot& slot = *slots_[shard];
    const std::unique_lock lock = Lock(slot.mutex);
    return std::forward<Work>(work)(slot.shard);
  }

  [[nodiscard]] std::uint32_t size() const {
    return static_cast<std::uint32_t>(slots_.size());
  }
  /// @return the index of the shard that the limit belongs to.
  [[nodiscard]] std::uint32_t ShardOf(LimitId limit) const;

 private:
  /// Spins before blocking, because an admission holds the lock for less time
  /// than a thread needs to sleep and wake.
  static constexpr int kLockTries = 200;

  [[nodiscard]] static std::unique_lock<std::mutex> Lock(std::mutex& mutex) {
    std::unique_lock lock(mutex, std::defer_lock);
    for (int i = 0; i < kLockTries; ++i) {
      if (lock.try_lock())
        return lock;
    }
    lock.lock();
    return lock;
  }

  /// Aligned so that no two shards share a cache line.
  struct alignas(128) Slot {
    Slot(const LimitShard::Options& options, TimePoint now)
        : shard(options, now) {}
    std::mutex mutex;
    LimitShard shard;
  };

  std::vector<std::unique_ptr<Slot>> slots_;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_LIMIT_SHARDED_LIMITS_H_
