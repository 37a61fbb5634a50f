/// @file
/// A failed attempt at a request.
#ifndef COMFREYVANE_ROUTE_ATTEMPT_H_
#define COMFREYVANE_ROUTE_ATTEMPT_H_

#include <cstdint>

#include "comfreyvane/base/time.h"
#include "comfreyvane/route/attempt_outcome.h"

namespace comfreyvane {

/// A failed attempt to send a request to a backend server, together with what
/// is known about the earlier attempts.
struct Attempt {
  AttemptOutcome outcome = AttemptOutcome::kConnectFailed;
  bool idempotent = false;
  bool sent = false;    ///< A byte of the request may have reached the server.
  bool pooled = false;  ///< Sent over a reused connection.
  bool sent_before = false;  ///< An earlier attempt may have been executed.
  std::uint32_t number = 1;  ///< Ordinal of this attempt; the first is 1.
  Duration expected{0};      ///< Expected duration of another attempt.
  TimePoint deadline = TimePoint::max();

  friend bool operator==(const Attempt&, const Attempt&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_ROUTE_ATTEMPT_H_
