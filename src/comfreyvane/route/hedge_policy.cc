#include "comfreyvane/route/hedge_policy.h"

namespace comfreyvane {
namespace {

constexpr double kHedgeQuantile = 0.95;
constexpr double kMedian = 0.5;

}  // namespace

HedgePolicy::HedgePolicy(RetryLimits limits)
    : budget_(limits.hedge_tokens_per_success, limits.max_hedge_tokens) {}

void HedgePolicy::OnSuccess(Duration latency) {
  latencies_.Add(latency);
  budget_.OnSuccess();
}

bool HedgePolicy::TryHedge(TimePoint started,
                           TimePoint deadline,
                           TimePoint now) {
  const std::optional<Duration> delay = Delay();
  if (!delay || now - started < *delay)
    return false;
  if (now >= deadline || deadline - now <= *latencies_.Quantile(kMedian))
    return false;
  if (!budget_.TrySpend())
    return false;
  ++hedges_;
  return true;
}

std::optional<Duration> HedgePolicy::Delay() const {
  return latencies_.Quantile(kHedgeQuantile);
}

}  // namespace comfreyvane
