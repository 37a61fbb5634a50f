/// @file
/// Snapshot of the routing state of a backend server.
#ifndef COMFREYVANE_ROUTE_SERVER_STATE_H_
#define COMFREYVANE_ROUTE_SERVER_STATE_H_

#include <cstdint>

#include "comfreyvane/base/basic_id.h"
#include "comfreyvane/base/time.h"
#include "comfreyvane/route/ejection_reason.h"

namespace comfreyvane {

/// Snapshot of the routing state of a backend server, for metrics and
/// diagnostics.
struct ServerState {
  BackendServerId server;
  std::uint32_t in_use = 0;            ///< Running requests of this host.
  std::uint32_t in_use_by_others = 0;  ///< Estimate for all other hosts.
  std::uint32_t limit = 0;             ///< Slots that routing fills at present.
  std::uint32_t free_slots = 0;        ///< Requests that can be sent now.
  Duration latency{0};                 ///< Estimate.
  double success_rate = 1.0;           ///< Estimate, 0 to 1.
  double ramp = 1.0;                   ///< Slow start, 0 to 1.
  bool leaving = false;
  bool reserved = false;  ///< Drained for an isolated request.
  bool trial = false;     ///< Returning from an ejection.
  EjectionReason ejected = EjectionReason::kNone;
  TimePoint ejected_until{};

  friend bool operator==(const ServerState&, const ServerState&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_ROUTE_SERVER_STATE_H_
