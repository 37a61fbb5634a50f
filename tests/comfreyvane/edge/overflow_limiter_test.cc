#include "comfreyvane/edge/overflow_limiter.h"

#include "support/criterion.h"

using namespace comfreyvane;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr TimePoint kStart = TimePoint(std::chrono::hours(1));

/// Sends 100 requests within one second.
/// @return how many of them overflow.
int RunSecond(OverflowLimiter& limiter, int second, bool has_shortage) {
  int overflowed = 0;
  for (int i = 0; i < 100; ++i) {
    const TimePoint now = kStart + seconds(second) + milliseconds(10) * i;
    const bool overflows =
        limiter.CanOverflow(now) && (has_shortage || limiter.MustOverflow(now));
    limiter.OnSent(overflows, now);
    overflowed += overflows ? 1 : 0;
  }
  return overflowed;
}

}  // namespace

Test(overflow_limiter, overflow_grows_and_shrinks_at_a_bounded_rate) {
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

Test(overflow_limiter, a_suspension_lifts_the_limit) {
  OverflowLimiter limiter(0.05);
  limiter.SuspendUntil(kStart + seconds(1));
  cr_expect_eq(RunSecond(limiter, 0, true), 100);
}
