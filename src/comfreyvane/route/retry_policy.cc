#include "comfreyvane/route/retry_policy.h"

#include <algorithm>

namespace comfreyvane {
namespace {

constexpr std::uint32_t kMaxDoublings = 16;

RetryReason ReasonToRetry(const Attempt& attempt) {
  switch (attempt.outcome) {
    case AttemptOutcome::kConnectFailed:
      return RetryReason::kConnectFailed;
    case AttemptOutcome::kShed:
      return RetryReason::kServerShed;
    case AttemptOutcome::kClosed:
      return attempt.pooled ? RetryReason::kStaleConnection
                            : RetryReason::kServerFailed;
    case AttemptOutcome::kSilent:
      return RetryReason::kStaleConnection;
    case AttemptOutcome::kTimeout:
      return RetryReason::kTimeout;
    case AttemptOutcome::kServerError:
    case AttemptOutcome::kMalformed:
    case AttemptOutcome::kCrashed:
      break;
  }
  return RetryReason::kServerFailed;
}

RefusalReason ReasonToRefuse(AttemptOutcome outcome) {
  switch (outcome) {
    case AttemptOutcome::kConnectFailed:
      return RefusalReason::kBackendConnectFailed;
    case AttemptOutcome::kShed:
      return RefusalReason::kNoBackendServer;
    case AttemptOutcome::kMalformed:
      return RefusalReason::kBackendMalformed;
    case AttemptOutcome::kTimeout:
      return RefusalReason::kBackendTimeout;
    case AttemptOutcome::kClosed:
    case AttemptOutcome::kSilent:
    case AttemptOutcome::kCrashed:
    case AttemptOutcome::kServerError:
      break;
  }
  return RefusalReason::kBackendClosed;
}

bool MayRetry(const Attempt& attempt) {
  return attempt.idempotent ||
         RetryPolicy::RunStateAfter(attempt) == RunState::kNotRun;
}

}  // namespace

RetryPolicy::RetryPolicy(RetryLimits limits, std::uint64_t seed)
    : limits_(limits),
      random_(seed),
      budget_(limits.tokens_per_success, limits.max_tokens) {}

void RetryPolicy::OnSuccess() {
  budget_.OnSuccess();
}

RunState RetryPolicy::RunStateAfter(const Attempt& attempt) {
  if (attempt.outcome == AttemptOutcome::kServerError)
    return RunState::kRan;
  const bool may_have_run =
      attempt.sent && attempt.outcome != AttemptOutcome::kShed;
  return may_have_run || attempt.sent_before ? RunState::kUnknown
                                             : RunState::kNotRun;
}

RetryDecision RetryPolicy::Decide(const Attempt& attempt, TimePoint now) {
  const RunState run_state = RunStateAfter(attempt);
  const auto fail_request = [&](RefusalReason reason) {
    const bool may_resubmit =
        attempt.idempotent || run_state == RunState::kNotRun;
    const Duration wait = may_resubmit ? limits_.max_backoff : Duration{0};
    return FailRequest{{reason, run_state, wait},
                       attempt.outcome == AttemptOutcome::kServerError};
  };
  if (now >= attempt.deadline)
    return fail_request(RefusalReason::kDeadlinePassed);
  const bool shed = attempt.outcome == AttemptOutcome::kShed;
  const std::uint32_t max_attempts =
      shed ? limits_.max_shed_attempts : limits_.max_attempts;
  if (!MayRetry(attempt) || attempt.number >= max_attempts)
    return fail_request(ReasonToRefuse(attempt.outcome));
  const Duration backoff = Backoff(attempt);
  if (attempt.deadline - now <= backoff + attempt.expected)
    return fail_request(RefusalReason::kDeadlineTooNear);
  if (!budget_.TrySpend())
    return fail_request(RefusalReason::kRetryBudgetSpent);
  const RetryReason reason = ReasonToRetry(attempt);
  ++retries_[static_cast<std::size_t>(reason)];
  return Retry{reason, backoff, run_state != RunState::kNotRun};
}

Duration RetryPolicy::Backoff(const Attempt& attempt) {
  const bool retry_at_once =
      attempt.number == 1 && attempt.outcome != AttemptOutcome::kShed;
  if (retry_at_once)
    return Duration{0};
  const std::uint32_t doublings = std::min(attempt.number - 1, kMaxDoublings);
  const Duration max_backoff = std::min<Duration>(
      limits_.initial_backoff * (1LL << doublings), limits_.max_backoff);
  const double jittered =
      static_cast<double>(max_backoff.count()) * random_.Uniform();
  return Duration(static_cast<Duration::rep>(jittered));
}

std::uint64_t RetryPolicy::Retries(RetryReason reason) const {
  return retries_[static_cast<std::size_t>(reason)];
}

}  // namespace comfreyvane
