#include "comfreyvane/limit/admission_bucket.h"

#include <array>

#include "support/criterion.h"

using namespace std::chrono_literals;
using namespace comfreyvane;

namespace {

constexpr TimePoint kStart{Duration(1s)};
constexpr Share kAll{kTotalUnits, kTotalUnits};

AdmissionBucket Full(Limit limit, Duration life) {
  AdmissionBucket bucket(limit, kStart);
  bucket.SetSlice(7, kAll, kStart + life, kStart);
  bucket.AddTokens(bucket.capacity(), kStart);
  return bucket;
}

int TakeAll(AdmissionBucket& bucket, TimePoint now) {
  int taken = 0;
  while (bucket.TryTake(1, now).admitted)
    ++taken;
  return taken;
}

struct UseCase {
  const char* name;
  Duration life;
  Duration use;
  int taken;
};

}  // namespace

Test(admission_bucket, expiry_is_checked_at_use) {
  const std::array<UseCase, 4> cases{{
      {"full and live", 10s, 0s, 10},
      {"paused to just before the expiry", 10s, 10s - 1ns, 10},
      {"paused to the expiry", 10s, 10s, 0},
      {"paused long past it", 10s, 1h, 0},
  }};
  for (const UseCase& test : cases) {
    AdmissionBucket bucket = Full({LimitId(1), 100, 10}, test.life);
    cr_expect_eq(TakeAll(bucket, kStart + test.use), test.taken, "%s",
                 test.name);
  }
}

Test(admission_bucket, tokens_of_an_expired_slice_are_discarded) {
  AdmissionBucket bucket({LimitId(1), 0, 10}, kStart);
  bucket.SetSlice(7, {0, kTotalUnits / 2}, kStart + 1s, kStart);
  bucket.SetSlice(8, {0, kTotalUnits / 2}, kStart + 2s, kStart);
  bucket.AddTokens(10 * kNanoTokensPerToken, kStart);
  cr_expect_eq(TakeAll(bucket, kStart + 1s), 5);
  cr_expect(bucket.share() == (Share{0, kTotalUnits / 2}));
}

Test(admission_bucket, refills_below_its_rate_by_the_clock_drift) {
  AdmissionBucket bucket({LimitId(1), 1000, 5000}, kStart, 100);
  bucket.SetSlice(7, kAll, kStart + 1h, kStart);
  cr_expect_eq(TakeAll(bucket, kStart + 1s), 990);
}

Test(admission_bucket, a_lowered_limit_applies_at_once) {
  AdmissionBucket bucket = Full({LimitId(1), 100, 50}, 1h);
  bucket.SetLimit({LimitId(1), 10, 5}, kStart);
  cr_expect_eq(TakeAll(bucket, kStart), 5);
  cr_expect(bucket.TryTake(1, kStart).retry_after >= 100ms);
}

Test(admission_bucket, never_holds_more_than_its_burst) {
  AdmissionBucket bucket = Full({LimitId(1), 100, 10}, 1h);
  bucket.AddTokens(100 * kNanoTokensPerToken, kStart);
  cr_expect_eq(bucket.tokens(), 10 * kNanoTokensPerToken);
  bucket.SetSlice(7, {kTotalUnits, kTotalUnits / 2}, kStart + 1h, kStart + 1s);
  cr_expect_eq(TakeAll(bucket, kStart + 1s), 5);
}
