#include "comfreyvane/limit/sharded_limits.h"

#include <bit>
#include <cassert>

namespace comfreyvane {

ShardedLimits::ShardedLimits(const LimitShard::Options& options,
                             std::uint32_t shards,
                             TimePoint now) {
  assert(std::has_single_bit(shards));
  for (std::uint32_t i = 0; i < shards; ++i) {
    LimitShard::Options shard_options = options;
    shard_options.shard = i;
    slots_.push_back(std::make_unique<Slot>(shard_options, now));
  }
}

Admission ShardedLimits::TryTake(LimitId limit,
                                 std::int64_t cost,
                                 TimePoint now) {
  return With(ShardOf(limit), [&](LimitShard& shard) {
    return shard.TryTake(limit, cost, now);
  });
}

void ShardedLimits::OnLimits(std::span<const Limit> limits,
                             Revision revision,
                             TimePoint now) {
  std::vector<std::vector<Limit>> limits_by_shard(size());
  for (const Limit& limit : limits)
    limits_by_shard[ShardOf(limit.id)].push_back(limit);
  for (std::uint32_t i = 0; i < size(); ++i) {
    With(i, [&](LimitShard& shard) {
      shard.OnLimits(limits_by_shard[i], revision, now);
    });
  }
}

std::uint32_t ShardedLimits::ShardOf(LimitId limit) const {
  return static_cast<std::uint32_t>(limit.value() >> 32U) & (size() - 1);
}

}  // namespace comfreyvane
