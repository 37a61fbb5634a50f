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
/// Without tolerance.
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

/// The stated bound of requests in any window of five seconds.
double WindowBound(double rate, double burst) {
  return (5 * rate + burst) * 1.1 + 20;
}

}  // namespace

Test(workspace_limiter, has_no_limit_without_a_rate) {
  WorkspaceLimiter limiter(kExact);
  limiter.SetShare(0.5, kStart);
  limiter.Configure({Limited(0, 0)}, kStart);
  for (int i = 0; i < 1000; ++i)
    cr_assert(limiter.TryTake(kKandy, kStart));
  cr_expect(limiter.TryTake(WorkspaceId(), kStart));
}

Test(workspace_limiter, fills_up_to_its_share_of_the_burst) {
  WorkspaceLimiter limiter(kExact);
  limiter.SetShare(0.25, kStart);
  limiter.Configure({Limited(40, 80)}, kStart);
  cr_expect_eq(TakeAll(limiter, kStart + seconds(60)), 20);
  cr_expect_eq(TakeAll(limiter, kStart + seconds(61)), 10);
}

Test(workspace_limiter, a_lowered_limit_takes_tokens_back) {
  WorkspaceLimiter limiter(kExact);
  limiter.SetShare(1.0, kStart);
  limiter.Configure({Limited(100, 100)}, kStart);
  limiter.Configure({Limited(10, 10)}, kStart + seconds(60));
  cr_expect_eq(TakeAll(limiter, kStart + seconds(60)), 10);
}

Test(workspace_limiter, returns_the_token_of_what_has_not_run) {
  WorkspaceLimiter limiter(kExact);
  limiter.SetShare(1.0, kStart);
  limiter.Configure({Limited(10, 10)}, kStart);
  const TimePoint later = kStart + seconds(60);
  TakeAll(limiter, later);
  limiter.Return(kKandy, later);
  cr_expect_eq(TakeAll(limiter, later), 1);
}

Test(workspace_limiter, gives_tokens_only_by_taking_them_out) {
  WorkspaceLimiter giver(kExact);
  WorkspaceLimiter taker(kExact);
  for (WorkspaceLimiter* limiter : {&giver, &taker}) {
    limiter->SetShare(0.5, kStart);
    limiter->Configure({Limited(40, 80)}, kStart);
  }
  const TimePoint later = kStart + seconds(60);
  cr_assert_eq(TakeAll(taker, later), 40);
  const std::uint32_t given = giver.TakeForPeer(kKandy, 1000, later);
  cr_expect_eq(given, 20);
  taker.Receive(kKandy, given, later);
  cr_expect_eq(TakeAll(giver, later) + TakeAll(taker, later), 40);
}

/// Hosts that restart, exchange tokens with losses and meet far more demand
/// than the limit.
Test(workspace_limiter, keeps_the_fleet_within_the_bound_of_any_window) {
  constexpr int kHosts = 8;
  constexpr double kRate = 60;
  constexpr double kBurst = 60;
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    RandomSource random(seed);
    std::vector<WorkspaceLimiter> hosts(kHosts, WorkspaceLimiter({}));
    const auto start = [](WorkspaceLimiter& host, TimePoint now) {
      host = WorkspaceLimiter({});
      host.SetShare(1.0 / kHosts, now);
      host.Configure({Limited(kRate, kBurst)}, now);
    };
    for (WorkspaceLimiter& host : hosts)
      start(host, kStart);
    std::vector<int> taken;
    for (int step = 0; step < 300; ++step) {
      const TimePoint now = kStart + milliseconds(100) * step;
      // All hosts at once, as after a loss of power; the bound allows one
      // restart of all in a window.
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
      const auto given = hosts[from].TakeForPeer(kKandy, 8, now);
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
