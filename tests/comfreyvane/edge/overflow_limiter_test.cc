#include "comfreyvane/edge/overflow_limiter.h"

#include "support/criterion.h"

using namespace comfreyvane;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr TimePoint kStart = TimePoint(std::chrono::hours(1));

/// @return requests of 100 that leave in one second.
int RunSecond(OverflowLimiter& limiter, int second, bool wants_to_leave) {
  int overflowed = 0;
  for (int i = 0; i < 100; ++i) {
    const TimePoint now = kStart + seconds(second) + milliseconds(10) * i;
    const bool overflows = limiter.CanOverflow(now) &&
                           (wants_to_leave || limiter.MustOverflow(now));
    limiter.OnSent(overflows, now);
    overflowed += overflows ? 1 : 0;
  }
  return overflowed;
}

}  // namespace

Test(overflow_limiter, grows_and_shrinks_by_steps) {
  OverflowLimiter limiter(0.05);
  int before = 0;
  for (int second = 0; second < 30; ++second) {
    const int overflowed = RunSecond(limiter, second, second < 15);
    cr_expect(std::abs(overflowed - before) <= 7, "second %d: %d after %d",
              second, overflowed, before);
    before = overflowed;
  }
  cr_expect(before <= 5);
}

Test(overflow_limiter, a_release_lifts_the_bound) {
  OverflowLimiter limiter(0.05);
  limiter.SuspendUntil(kStart + seconds(1));
  cr_expect_eq(RunSecond(limiter, 0, true), 100);
}
