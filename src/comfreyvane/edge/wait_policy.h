/// @file
/// Limits on the time that requests wait for a backend server.
#ifndef COMFREYVANE_EDGE_WAIT_POLICY_H_
#define COMFREYVANE_EDGE_WAIT_POLICY_H_

#include <cstddef>

#include "comfreyvane/base/time.h"
#include "comfreyvane/edge/limited_room.h"

namespace comfreyvane {

/// Inputs for the waiting time of a request.
struct WaitTerms {
  TimePoint started;  ///< When the request was read.
  Duration objective{};
  Duration work{};  ///< Expected latency at a warm server.
  TimePoint deadline;

  friend bool operator==(const WaitTerms&, const WaitTerms&) = default;
};

/// Bounds the wait under overload: a request waits as long as it can still be
/// answered within the objective, and is refused as soon as it is clear that it
/// cannot be served.
/// @return when the request is refused if it still waits.
[[nodiscard]] TimePoint WaitDeadline(const WaitTerms& terms);

/// @param expected_wait wait of a request of the same urgency, from the rate at
///     which servers become free.
/// @return the delay after which a refused caller may retry.
[[nodiscard]] Duration RetryAfter(Duration expected_wait);

/// @param ahead requests of the service that wait at this host.
/// @return the wait of one more request under the servers' request limits;
///     maximum if none can be foreseen.
[[nodiscard]] Duration LimitWait(const LimitedRoom& room, std::size_t ahead);

/// @return the delay after which a caller may retry that no host can serve now
///     since none is known to reach the servers.
[[nodiscard]] Duration NoPathRetryAfter();

/// @return the delay after which a caller that limits have refused may retry at
///     any host: the interval at which all servers together take requests.
[[nodiscard]] Duration LimitRetryAfter(const LimitedRoom& room);

}  // namespace comfreyvane

#endif  // COMFREYVANE_EDGE_WAIT_POLICY_H_
