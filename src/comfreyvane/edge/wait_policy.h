/// @file
/// How long requests wait for a backend server.
#ifndef COMFREYVANE_EDGE_WAIT_POLICY_H_
#define COMFREYVANE_EDGE_WAIT_POLICY_H_

#include "comfreyvane/base/time.h"

namespace comfreyvane {

/// What decides how long a request may wait.
struct WaitTerms {
  TimePoint started;  ///< When the request was read.
  Duration objective{};
  Duration work{};  ///< Expected time at a warm server.
  TimePoint deadline;

  friend bool operator==(const WaitTerms&, const WaitTerms&) = default;
};

/// Answers a load beyond what the servers can do: requests wait while that
/// leaves time to answer within the objective, and are refused as soon as it is
/// known that they cannot be served.
/// @return when waiting on is pointless.
[[nodiscard]] TimePoint WaitDeadline(const WaitTerms& terms);

/// @param expected_wait of a request of the same urgency, from the rate at
///     which servers come free.
/// @return when a refused caller may come back.
[[nodiscard]] Duration RetryAfter(Duration expected_wait);

}  // namespace comfreyvane

#endif  // COMFREYVANE_EDGE_WAIT_POLICY_H_
