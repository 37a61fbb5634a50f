#include "comfreyvane/limit/sharded_limits.h"

#include <atomic>
#include <thread>
#include <vector>

#include "support/criterion.h"

using namespace std::chrono_literals;
using namespace comfreyvane;

Test(sharded_limits, threads_share_the_burst_of_each_limit) {
  constexpr std::uint32_t kBurst = 500;
  const TimePoint now(1s);
  std::vector<Limit> limits;
  for (std::uint64_t i = 0; i < 8; ++i)
    limits.push_back({LimitId(i << 32U), 0, kBurst});
  ShardedLimits sharded({HostId(1000), Incarnation(1), 0, {}}, 4, now);
  sharded.OnLimits(limits, Revision(1), now);
  for (std::uint32_t i = 0; i < sharded.size(); ++i) {
    sharded.With(i, [&](LimitShard& shard) {
      shard.OnOwnShare({kTotalUnits, now + 1h, 0, now}, now);
      shard.OnLimits({}, Revision(0), now);
    });
  }
  std::vector<Limit> rated = limits;
  for (Limit& limit : rated)
    limit.rate = 1000;
  sharded.OnLimits(rated, Revision(2), now);
  std::atomic<std::uint64_t> admitted = 0;
  std::vector<std::thread> threads;
  for (int t = 0; t < 4; ++t) {
    threads.emplace_back([&] {
      for (std::uint32_t i = 0; i < kBurst; ++i) {
        for (const Limit& limit : limits)
          admitted += sharded.TryTake(limit.id, 1, now + 10s).admitted ? 1 : 0;
      }
    });
  }
  for (std::thread& thread : threads)
    thread.join();
  cr_expect_eq(admitted.load(), kBurst * limits.size());
}
