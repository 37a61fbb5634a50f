/// @file
/// Decides whether a failed attempt is retried.
#ifndef COMFREYVANE_ROUTE_RETRY_POLICY_H_
#define COMFREYVANE_ROUTE_RETRY_POLICY_H_

#include <array>
#include <cstdint>
#include <variant>

#include "comfreyvane/base/random_source.h"
#include "comfreyvane/base/retry_reason.h"
#include "comfreyvane/base/run_state.h"
#include "comfreyvane/route/attempt.h"
#include "comfreyvane/route/fail_request.h"
#include "comfreyvane/route/retry.h"
#include "comfreyvane/route/retry_budget.h"
#include "comfreyvane/route/retry_limits.h"

namespace comfreyvane {

/// Decision on a failed attempt.
using RetryDecision = std::variant<Retry, FailRequest>;

/// Decides whether a failed attempt is retried. A non-idempotent request is
/// retried only if no byte of it can have reached a server, or if the server
/// stated that it was not executed. There is one policy per service and shard.
class RetryPolicy {
 public:
  RetryPolicy(RetryLimits limits, std::uint64_t seed);

  /// Records an answered request; earns budget.
  void OnSuccess();
  /// Decides whether to retry a failed attempt; a retry spends budget.
  [[nodiscard]] RetryDecision Decide(const Attempt& attempt, TimePoint now);

  /// @return whether the request may have been executed after this attempt.
  [[nodiscard]] static RunState RunStateAfter(const Attempt& attempt);
  [[nodiscard]] const RetryBudget& budget() const { return budget_; }
  /// @return total number of retries with this reason.
  [[nodiscard]] std::uint64_t Retries(RetryReason reason) const;

 private:
  [[nodiscard]] Duration Backoff(const Attempt& attempt);

  RetryLimits limits_;
  RandomSource random_;
  RetryBudget budget_;
  std::array<std::uint64_t, kRetryReasonCount> retries_{};
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_ROUTE_RETRY_POLICY_H_
