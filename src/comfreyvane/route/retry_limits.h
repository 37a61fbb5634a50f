/// @file
/// Settings of retries.
#ifndef COMFREYVANE_ROUTE_RETRY_LIMITS_H_
#define COMFREYVANE_ROUTE_RETRY_LIMITS_H_

#include <cstdint>

#include "comfreyvane/base/time.h"

namespace comfreyvane {

/// Settings of retries and hedges.
struct RetryLimits {
  /// Attempts, including the first, if the server refused the last one without
  /// executing it.
  std::uint32_t max_shed_attempts = 6;
  /// Attempts, including the first, after any other failure.
  std::uint32_t max_attempts = 3;
  double tokens_per_success = 0.1;  ///< A retry costs one token.
  double max_tokens = 20.0;         ///< Also the initial number of tokens.
  double hedge_tokens_per_success = 0.05;
  double max_hedge_tokens = 10.0;
  /// Upper bound of the random backoff after the first attempt; doubles with
  /// each attempt.
  Duration initial_backoff = std::chrono::milliseconds(10);
  Duration max_backoff = std::chrono::milliseconds(500);

  friend bool operator==(const RetryLimits&, const RetryLimits&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_ROUTE_RETRY_LIMITS_H_
