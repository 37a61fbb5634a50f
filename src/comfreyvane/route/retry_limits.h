/// @file
/// Settings of retries.
#ifndef COMFREYVANE_ROUTE_RETRY_LIMITS_H_
#define COMFREYVANE_ROUTE_RETRY_LIMITS_H_

#include <cstdint>

#include "comfreyvane/base/time.h"

namespace comfreyvane {

/// Settings of retries and hedges.
struct RetryLimits {
  std::uint32_t max_shed_attempts =
      6;  ///< Most, if the last was refused as not run.
  std::uint32_t max_attempts = 3;   ///< Most, with the first.
  double tokens_per_success = 0.1;  ///< A retry costs one token.
  double max_tokens = 20.0;         ///< Also the tokens at the start.
  double hedge_tokens_per_success = 0.05;
  double max_hedge_tokens = 10.0;
  Duration initial_backoff = std::chrono::milliseconds(10);  ///< Doubles.
  Duration max_backoff = std::chrono::milliseconds(500);

  friend bool operator==(const RetryLimits&, const RetryLimits&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_ROUTE_RETRY_LIMITS_H_
