/// @file
/// Decides on hedged requests.
#ifndef COMFREYVANE_ROUTE_HEDGE_POLICY_H_
#define COMFREYVANE_ROUTE_HEDGE_POLICY_H_

#include <cstdint>
#include <optional>

#include "comfreyvane/base/time.h"
#include "comfreyvane/route/latency_histogram.h"
#include "comfreyvane/route/retry_budget.h"
#include "comfreyvane/route/retry_limits.h"

namespace comfreyvane {

/// Decides whether to send a second attempt (hedge) while the first one is
/// slow. An idempotent read gets at most one hedge, once its first attempt has
/// taken longer than 95% of the recent reads. Hedges have their own
/// RetryBudget.
class HedgePolicy {
 public:
  explicit HedgePolicy(RetryLimits limits);

  /// Records the latency of an answered idempotent read; earns budget.
  void OnSuccess(Duration latency);
  /// Decides whether to send a hedge now; a hedge spends budget.
  /// @param started start of the first attempt.
  [[nodiscard]] bool TryHedge(TimePoint started,
                              TimePoint deadline,
                              TimePoint now);

  /// @return time after its start at which a read is hedged; empty until enough
  ///     latencies have been recorded.
  [[nodiscard]] std::optional<Duration> Delay() const;
  [[nodiscard]] std::uint64_t hedges() const { return hedges_; }

 private:
  LatencyHistogram latencies_;
  RetryBudget budget_;
  std::uint64_t hedges_ = 0;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_ROUTE_HEDGE_POLICY_H_
