#include "comfreyvane/edge/workspace_limiter.h"

#include <algorithm>
#include <vector>

#include "comfreyvane/base/random_source.h"
#include "support/criterion.h"

using namespace comfreyvane;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr TimePoint kStart = TimePoint(std::chrono::hours(1));
/// No tolerance.
constexpr LimitTolerance kExact{0.0, 0.0, seconds(5)};
const WorkspaceId kKandy = WorkspaceId::Of("kandy");

EdgeWorkspace Limited(double rate, double burst) {
  EdgeWorkspace workspace;
  workspace.name = "kandy";
  workspace.rate = rate;
  workspace.burst = burst;
  return workspace;
}

int TakeAll(WorkspaceLimiter& limiter, TimePoint now) {
  int taken = 0;
  while (limiter.TryTake(kKandy, now))
    ++taken;
  return taken;
}

/// The platform's bound on requests in any window of five seconds.
double WindowBound(double rate, double burst) {
  return (5 * rate + burst) * 1.1 + 20;
}

}  // namespace

Test(workspace_limiter, has_no_limit_without_a_rate) {
  WorkspaceLimiter limiter(kExact);
  limiter.SetRole({.share = 0.5}, kStart);
  limiter.Configure({Limited(0, 0)}, kStart);
  for (int i = 0; i < 1000; ++i)
    cr_assert(limiter.TryTake(kKandy, kStart));
  cr_expect(limiter.TryTake(WorkspaceId(), kStart));
}

Test(workspace_limiter, fills_up_to_its_share_of_the_burst) {
  WorkspaceLimiter limiter(kExact);
  limiter.SetRole({.share = 0.25}, kStart);
  limiter.Configure({Limited(40, 80)}, kStart);
  cr_expect_eq(TakeAll(limiter, kStart + seconds(60)), 20);
  cr_expect_eq(TakeAll(limiter, kStart + seconds(61)), 10);
}

Test(workspace_limiter, a_lowered_limit_removes_excess_tokens) {
  WorkspaceLimiter limiter(kExact);
  limiter.SetRole({.share = 1.0}, kStart);
  limiter.Configure({Limited(100, 100)}, kStart);
  limiter.Configure({Limited(10, 10)}, kStart + seconds(60));
  cr_expect_eq(TakeAll(limiter, kStart + seconds(60)), 10);
}

Test(workspace_limiter, a_request_that_has_not_run_returns_its_token) {
  WorkspaceLimiter limiter(kExact);
  limiter.SetRole({.share = 1.0}, kStart);
  limiter.Configure({Limited(10, 10)}, kStart);
  const TimePoint later = kStart + seconds(60);
  TakeAll(limiter, later);
  limiter.Return(kKandy, later);
  cr_expect_eq(TakeAll(limiter, later), 1);
}

Test(workspace_limiter, a_transfer_removes_the_tokens_from_the_sender) {
  WorkspaceLimiter giver(kExact);
  WorkspaceLimiter taker(kExact);
  for (WorkspaceLimiter* limiter : {&giver, &taker}) {
    limiter->SetRole({.share = 0.5}, kStart);
    limiter->Configure({Limited(40, 80)}, kStart);
  }
  const TimePoint later = kStart + seconds(60);
  cr_assert_eq(TakeAll(taker, later), 40);
  const double given = giver.TakeForPeer(kKandy, 1000, 0.5, later);
  cr_expect_eq(given, 20.0);
  taker.Receive(kKandy, given, later);
  cr_expect_eq(TakeAll(giver, later) + TakeAll(taker, later), 40);
}

/// Hosts that restart and exchange tokens over a lossy network, under a demand
/// far beyond the limit.
Test(workspace_limiter, keeps_the_fleet_within_the_bound_in_any_window) {
  constexpr int kHosts = 8;
  constexpr double kRate = 60;
  constexpr double kBurst = 60;
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    RandomSource random(seed);
    std::vector<WorkspaceLimiter> hosts(kHosts, WorkspaceLimiter({}));
    const auto start = [](WorkspaceLimiter& host, TimePoint now) {
      host = WorkspaceLimiter({});
      host.SetRole({.share = 1.0 / kHosts}, now);
      host.Configure({Limited(kRate, kBurst)}, now);
    };
    for (WorkspaceLimiter& host : hosts)
      start(host, kStart);
    std::vector<int> taken;
    for (int step = 0; step < 300; ++step) {
      const TimePoint now = kStart + milliseconds(100) * step;
      // All hosts restart at once, as after a power failure. The bound allows
      // for one such restart in a window.
      if (step == 150) {
        for (WorkspaceLimiter& host : hosts)
          start(host, now);
      }
      int now_taken = 0;
      for (WorkspaceLimiter& host : hosts) {
        const int wanted = static_cast<int>(random.Below(30));
        for (int i = 0; i < wanted; ++i)
          now_taken += host.TryTake(kKandy, now) ? 1 : 0;
      }
      const auto from = random.Below(kHosts);
      const auto to = random.Below(kHosts);
      const auto given = hosts[from].TakeForPeer(kKandy, 8, 0.5, now);
      if (random.Uniform() < 0.7)
        hosts[to].Receive(kKandy, given, now);
      taken.push_back(now_taken);
    }
    for (std::size_t end = 50; end <= taken.size(); ++end) {
      int window = 0;
      for (std::size_t i = end - 50; i < end; ++i)
        window += taken[i];
      cr_assert(window <= WindowBound(kRate, kBurst), "seed %lu: %d",
                static_cast<unsigned long>(seed), window);
    }
  }
}

namespace {

/// Hosts of several failure domains that transfer tokens as the gateway does.
class PooledFleet {
 public:
  PooledFleet(int domains, int hosts_each, double rate, double burst)
      : hosts_each_(hosts_each),
        rate_(rate),
        burst_(burst),
        hosts_(static_cast<std::size_t>(domains * hosts_each),
               WorkspaceLimiter({})) {
    for (std::size_t host = 0; host < hosts_.size(); ++host)
      Start(host, kStart);
  }

  void Start(std::size_t host, TimePoint now) {
    const double share = 1.0 / static_cast<double>(hosts_.size());
    const bool is_pool = PoolOf(host) == host;
    hosts_[host] = WorkspaceLimiter({});
    hosts_[host].SetRole(
        {share, is_pool ? share * (hosts_each_ - 1) : 0.0, is_pool}, now);
    hosts_[host].Configure({Limited(rate_, burst_)}, now);
  }

  /// Runs a request at a host, which requests tokens from its pool if it has
  /// none.
  bool Request(std::size_t host, RandomSource& random, TimePoint now) {
    if (hosts_[host].TryTake(kKandy, now))
      return true;
    const std::size_t pool = PoolOf(host);
    if (pool != host)
      Move(pool, host, 2, 1.0, random, now);
    if (hosts_[host].TryTake(kKandy, now))
      return true;
    for (std::size_t other = 0; other < hosts_.size(); other += hosts_each_) {
      if (other != pool)
        Move(other, pool, 16, 0.5, random, now);
    }
    if (pool != host)
      Move(pool, host, 2, 1.0, random, now);
    return hosts_[host].TryTake(kKandy, now);
  }

  void PoolSpare(RandomSource& random, TimePoint now) {
    for (std::size_t host = 0; host < hosts_.size(); ++host) {
      for (const WorkspaceTokens& spare : hosts_[host].TakeSpare(now)) {
        if (random.Uniform() < kDeliveryRate)
          hosts_[PoolOf(host)].ReceiveSpare(kKandy, spare.tokens, now);
      }
    }
  }

  [[nodiscard]] std::size_t size() const { return hosts_.size(); }

 private:
  /// Fraction of the datagrams that arrive.
  static constexpr double kDeliveryRate = 0.95;

  [[nodiscard]] std::size_t PoolOf(std::size_t host) const {
    return host - host % static_cast<std::size_t>(hosts_each_);
  }
  void Move(std::size_t from,
            std::size_t to,
            double wanted,
            double max_fraction,
            RandomSource& random,
            TimePoint now) {
    const double given =
        hosts_[from].TakeForPeer(kKandy, wanted, max_fraction, now);
    if (given > 0 && random.Uniform() < kDeliveryRate)
      hosts_[to].Receive(kKandy, given, now);
  }

  int hosts_each_;
  double rate_;
  double burst_;
  std::vector<WorkspaceLimiter> hosts_;
};

constexpr int kStepsPerSecond = 20;

/// @param demand requests/s at a step.
/// @return numbers of requests that ran and that were refused, by step.
template <typename Demand>
std::vector<std::pair<int, int>> Play(PooledFleet& fleet,
                                      std::uint64_t seed,
                                      int steps,
                                      Demand demand) {
  RandomSource random(seed);
  std::vector<std::pair<int, int>> played;
  for (int step = 0; step < steps; ++step) {
    const TimePoint now = kStart + milliseconds(1000 / kStepsPerSecond) * step;
    if (step % (kStepsPerSecond / 4) == 0)
      fleet.PoolSpare(random, now);
    std::pair<int, int> counts;
    double due = demand(step) / kStepsPerSecond;
    for (; due > random.Uniform(); due -= 1.0)
      ++(fleet.Request(random.Below(fleet.size()), random, now)
             ? counts.first
             : counts.second);
    played.push_back(counts);
  }
  return played;
}

}  // namespace

Test(workspace_limiter, pools_keep_a_large_fleet_within_the_bound) {
  for (const auto& [rate, burst] :
       {std::pair(8.0, 8.0), std::pair(40.0, 40.0), std::pair(200.0, 100.0)}) {
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
      PooledFleet fleet(6, 11, rate, burst);
      // Calm periods alternate with bursts of many times the rate.
      const auto played =
          Play(fleet, seed, 60 * kStepsPerSecond, [&, rate = rate](int step) {
            const bool burst_phase = step / kStepsPerSecond % 12 >= 8;
            return burst_phase ? 10 * rate : 0.5 * rate;
          });
      const std::size_t window = 5 * kStepsPerSecond;
      for (std::size_t end = window; end <= played.size(); ++end) {
        int ran = 0;
        for (std::size_t i = end - window; i < end; ++i)
          ran += played[i].first;
        cr_assert(ran <= WindowBound(rate, burst), "rate %g seed %lu: %d", rate,
                  static_cast<unsigned long>(seed), ran);
      }
    }
  }
}

Test(workspace_limiter, pools_serve_nearly_all_within_the_rate) {
  constexpr double kRate = 40;
  int ran = 0;
  int refused = 0;
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    PooledFleet fleet(6, 11, kRate, kRate);
    const auto played = Play(fleet, seed, 30 * kStepsPerSecond,
                             [](int) { return 0.6 * kRate; });
    // Skips the start, when buckets hold few tokens.
    for (std::size_t i = 2 * kStepsPerSecond; i < played.size(); ++i) {
      ran += played[i].first;
      refused += played[i].second;
    }
  }
  cr_expect(refused * 100 <= ran + refused, "%d of %d refused", refused,
            ran + refused);
}

Test(workspace_limiter,
     a_host_disconnected_from_its_pool_serves_its_own_share) {
  WorkspaceLimiter host({});
  host.SetRole({0.1, 0.0, false}, kStart);
  host.Configure({Limited(20, 20)}, kStart);
  int ran = 0;
  for (int step = 0; step < 200; ++step)
    ran += host.TryTake(kKandy, kStart + milliseconds(100) * step) ? 1 : 0;
  cr_expect(ran >= 38, "%d of 40 requests at 2/s", ran);
}

Test(workspace_limiter, all_tokens_of_a_bucket_without_demand_are_spare) {
  WorkspaceLimiter host(kExact);
  host.SetRole({0.5, 0.0, false}, kStart);
  host.Configure({Limited(40, 80)}, kStart);
  const TimePoint later = kStart + seconds(60);
  const auto spare = host.TakeSpare(later);
  cr_assert_eq(spare.size(), 1U);
  cr_expect(spare[0].tokens > 5.9 && spare[0].tokens < 6.1,
            "%g instead of those of 300 ms", spare[0].tokens);
  cr_expect(host.TakeSpare(later).empty());
  cr_expect_eq(TakeAll(host, later), 0);
}

Test(workspace_limiter,
     a_full_pool_keeps_requested_tokens_and_drops_spare_ones) {
  WorkspaceLimiter pool(kExact);
  pool.SetRole({0.25, 0.25, true}, kStart);
  pool.Configure({Limited(8, 16)}, kStart);
  const TimePoint later = kStart + seconds(60);
  // Its own share of the burst, and the other hosts' share beyond 300 ms of the
  // rate.
  const int full = TakeAll(pool, later);
  cr_expect_eq(full, 7);
  pool.ReceiveSpare(kKandy, 20, later);
  cr_expect_eq(TakeAll(pool, later), 7);
  pool.Receive(kKandy, 20, later);
  cr_expect_eq(TakeAll(pool, later), 20);
}

Test(workspace_limiter, a_host_in_demand_pools_its_unused_tokens) {
  WorkspaceLimiter host(kExact);
  host.SetRole({0.05, 0.0, false}, kStart);
  host.Configure({Limited(40, 40)}, kStart);
  double used = 0.0;
  for (int step = 0; step < 400; ++step) {
    const TimePoint now = kStart + milliseconds(50) * step;
    if (step % 8 == 0)
      used += host.TryTake(kKandy, now) ? 1.0 : 0.0;
    if (step % 5 == 0) {
      for (const WorkspaceTokens& spare : host.TakeSpare(now))
        used += spare.tokens;
    }
  }
  cr_expect(used >= 38.0, "%g of 40 tokens", used);
}
