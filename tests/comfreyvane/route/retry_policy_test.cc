#include "comfreyvane/route/retry_policy.h"

#include "comfreyvane/route/hedge_policy.h"
#include "support/criterion.h"

using namespace comfreyvane;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr TimePoint kStart = TimePoint(std::chrono::hours(1));

Attempt Failed(AttemptOutcome outcome, bool idempotent, bool sent) {
  return {.outcome = outcome,
          .idempotent = idempotent,
          .sent = sent,
          .expected = milliseconds(20),
          .deadline = kStart + seconds(10)};
}

bool Retried(const RetryDecision& decision) {
  return std::holds_alternative<Retry>(decision);
}

}  // namespace

Test(retry_policy, retries_only_requests_that_may_be_retried) {
  struct Case {
    AttemptOutcome outcome;
    bool idempotent;
    bool sent;
    bool retried;
    RunState run_state;
  };
  const RunState none = RunState::kNotRun;
  const RunState unknown = RunState::kUnknown;
  for (const Case& each :
       {Case{AttemptOutcome::kConnectFailed, false, false, true, none},
        Case{AttemptOutcome::kConnectFailed, false, true, false, unknown},
        Case{AttemptOutcome::kClosed, false, false, true, none},
        Case{AttemptOutcome::kClosed, false, true, false, unknown},
        Case{AttemptOutcome::kShed, false, true, true, none},
        Case{AttemptOutcome::kServerError, false, true, false, RunState::kRan},
        Case{AttemptOutcome::kMalformed, false, true, false, unknown},
        Case{AttemptOutcome::kTimeout, false, true, false, unknown},
        Case{AttemptOutcome::kSilent, false, true, false, unknown},
        Case{AttemptOutcome::kCrashed, false, true, false, unknown},
        Case{AttemptOutcome::kClosed, true, true, true, unknown},
        Case{AttemptOutcome::kTimeout, true, true, true, unknown},
        Case{AttemptOutcome::kCrashed, true, true, true, unknown},
        Case{AttemptOutcome::kServerError, true, true, true, RunState::kRan}}) {
    RetryPolicy policy(RetryLimits{}, 1);
    const Attempt attempt = Failed(each.outcome, each.idempotent, each.sent);
    const RetryDecision decision = policy.Decide(attempt, kStart);
    cr_expect(Retried(decision) == each.retried);
    cr_expect(RetryPolicy::RunStateAfter(attempt) == each.run_state);
    if (const auto* failed = std::get_if<FailRequest>(&decision))
      cr_expect(failed->refusal.run_state == each.run_state);
    else
      cr_expect(std::get<Retry>(decision).may_have_run ==
                (each.run_state != none));
  }
}

Test(retry_policy, considers_that_an_earlier_attempt_may_have_run) {
  RetryPolicy policy(RetryLimits{}, 1);
  for (const auto outcome :
       {AttemptOutcome::kConnectFailed, AttemptOutcome::kShed}) {
    Attempt attempt = Failed(outcome, false, outcome == AttemptOutcome::kShed);
    attempt.sent_before = true;
    attempt.number = 2;
    const RetryDecision decision = policy.Decide(attempt, kStart);
    cr_assert(!Retried(decision));
    cr_expect(std::get<FailRequest>(decision).refusal.run_state ==
              RunState::kUnknown);
  }
}

Test(retry_policy, respects_attempts_deadline_and_budget) {
  RetryPolicy policy(RetryLimits{}, 1);
  Attempt attempt = Failed(AttemptOutcome::kConnectFailed, true, false);
  attempt.number = 3;
  cr_expect(
      std::get<FailRequest>(policy.Decide(attempt, kStart)).refusal.reason ==
      RefusalReason::kBackendConnectFailed);
  attempt.outcome = AttemptOutcome::kShed;
  cr_expect(Retried(policy.Decide(attempt, kStart)));
  attempt.number = 6;
  cr_expect(
      std::get<FailRequest>(policy.Decide(attempt, kStart)).refusal.reason ==
      RefusalReason::kNoBackendServer);
  attempt.outcome = AttemptOutcome::kConnectFailed;
  attempt.number = 1;
  attempt.deadline = kStart + milliseconds(20);
  cr_expect(
      std::get<FailRequest>(policy.Decide(attempt, kStart)).refusal.reason ==
      RefusalReason::kDeadlineTooNear);
  attempt.deadline = kStart;
  cr_expect(
      std::get<FailRequest>(policy.Decide(attempt, kStart)).refusal.reason ==
      RefusalReason::kDeadlinePassed);
  attempt.deadline = kStart + seconds(10);
  for (int i = 0; i < 100 && policy.budget().tokens() >= 1.0; ++i)
    cr_assert(Retried(policy.Decide(attempt, kStart)));
  cr_expect(
      std::get<FailRequest>(policy.Decide(attempt, kStart)).refusal.reason ==
      RefusalReason::kRetryBudgetSpent);
}

Test(retry_policy, forwards_a_server_error_that_is_not_retried) {
  RetryPolicy policy(RetryLimits{}, 1);
  const auto decision =
      policy.Decide(Failed(AttemptOutcome::kServerError, false, true), kStart);
  cr_assert(!Retried(decision));
  cr_expect(std::get<FailRequest>(decision).forward_response);
}

Test(retry_policy_random, spends_no_more_than_its_budget) {
  for (std::uint64_t seed = 1; seed <= 10000; ++seed) {
    RandomSource random(seed);
    const RetryLimits limits;
    RetryPolicy policy(limits, seed);
    double successes = 0;
    double retries = 0;
    TimePoint now = kStart;
    for (int step = 0; step < 100; ++step) {
      now += milliseconds(random.Below(50));
      if (random.Below(3) == 0) {
        policy.OnSuccess();
        ++successes;
        continue;
      }
      Attempt attempt{.outcome = static_cast<AttemptOutcome>(random.Below(8)),
                      .idempotent = random.Below(2) == 0,
                      .sent = random.Below(2) == 0,
                      .sent_before = random.Below(4) == 0,
                      .number = static_cast<std::uint32_t>(1 + random.Below(3)),
                      .expected = milliseconds(random.Below(50)),
                      .deadline = now + milliseconds(random.Below(1000))};
      const RetryDecision decision = policy.Decide(attempt, now);
      if (const auto* retry = std::get_if<Retry>(&decision)) {
        ++retries;
        const bool reached =
            attempt.sent && attempt.outcome != AttemptOutcome::kShed;
        cr_assert(attempt.idempotent || !(reached || attempt.sent_before));
        cr_assert(now + retry->backoff + attempt.expected < attempt.deadline);
      }
      const double max_retries =
          limits.max_tokens + limits.tokens_per_success * successes;
      cr_assert(retries <= max_retries + 1e-6);
    }
  }
}

Test(hedge_policy, hedges_the_slow_tail_within_its_budget) {
  HedgePolicy policy(RetryLimits{});
  const TimePoint deadline = kStart + seconds(10);
  cr_expect(!policy.Delay().has_value());
  cr_expect(!policy.TryHedge(kStart, deadline, kStart + seconds(5)));
  for (int i = 0; i < 1000; ++i)
    policy.OnSuccess(milliseconds(i % 100 < 97 ? 10 : 200));
  cr_assert(policy.Delay().has_value());
  cr_expect(*policy.Delay() >= milliseconds(10));
  cr_expect(*policy.Delay() < milliseconds(20));
  cr_expect(!policy.TryHedge(kStart, deadline, kStart + milliseconds(5)));
  cr_expect(!policy.TryHedge(kStart, kStart + milliseconds(55),
                             kStart + milliseconds(50)));
  int hedges = 0;
  for (int i = 0; i < 100; ++i) {
    const TimePoint now = kStart + milliseconds(50);
    hedges += policy.TryHedge(kStart, deadline, now) ? 1 : 0;
  }
  cr_expect(hedges == 10);
}

Test(latency_histogram, bounds_quantiles_within_a_quarter) {
  LatencyHistogram histogram;
  for (int i = 1; i <= 1000; ++i)
    histogram.Add(milliseconds(i));
  for (const double rank : {0.1, 0.5, 0.9, 0.99}) {
    const auto quantile = histogram.Quantile(rank);
    cr_assert(quantile.has_value());
    const double ratio = static_cast<double>(quantile->count()) / 1e9 / rank;
    cr_expect(ratio >= 1.0 && ratio <= 1.26, "%f", ratio);
  }
}
