#include "comfreyvane/route/retry_budget.h"

#include <algorithm>
#include <cassert>

namespace comfreyvane {

RetryBudget::RetryBudget(double tokens_per_success, double max_tokens)
    : tokens_per_success_(tokens_per_success),
      max_tokens_(max_tokens),
      tokens_(max_tokens) {
  assert(tokens_per_success >= 0.0 && tokens_per_success <= 1.0 &&
         max_tokens >= 0.0);
}

void RetryBudget::OnSuccess() {
  tokens_ = std::min(max_tokens_, tokens_ + tokens_per_success_);
}

bool RetryBudget::TrySpend() {
  if (tokens_ < 1.0)
    return false;
  tokens_ -= 1.0;
  return true;
}

}  // namespace comfreyvane
