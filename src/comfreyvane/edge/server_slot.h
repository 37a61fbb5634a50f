/// @file
/// A backend server as a candidate for requests.
#ifndef COMFREYVANE_EDGE_SERVER_SLOT_H_
#define COMFREYVANE_EDGE_SERVER_SLOT_H_

#include <cstdint>
#include <limits>

#include "comfreyvane/base/basic_id.h"
#include "comfreyvane/base/fwd.h"
#include "comfreyvane/base/time.h"
#include "comfreyvane/edge/backend_state.h"
#include "comfreyvane/edge/pick_request.h"
#include "comfreyvane/edge/server_limit.h"
#include "comfreyvane/edge/server_reach.h"
#include "comfreyvane/route/distance.h"

namespace comfreyvane {

/// A backend server as a candidate for requests. Part of BackendPicker.
struct ServerSlot {
  BackendState state;
  Distance distance = Distance::kOtherRegion;
  RegionId region{};
  /// When it joined or its domain returned; zero: before the first request.
  TimePoint joined_at{};
  bool is_evacuated = false;
  /// This host is one of the few that send it its first requests.
  bool is_initial_sender = false;
  double cold_rate = 0.0;  ///< Requests/s from this host while cold.
  ServerLimit limit{};
  /// Requests that this host may run there at once; each has a connection.
  std::uint32_t max_connections = std::numeric_limits<std::uint32_t>::max();

  ServerReach reach = ServerReach::kDirect;

  /// @return whether another request of this host may have a connection.
  [[nodiscard]] bool HasConnection() const {
    return state.own_running() < max_connections;
  }

  /// @return whether the server is in use and the request may run there and has
  ///     not been tried there yet.
  [[nodiscard]] bool MayRun(const PickRequest& request) const {
    return !state.is_leaving() && !is_evacuated && request.MayRunIn(region) &&
           !request.HasTried(state.entry().id());
  }
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_EDGE_SERVER_SLOT_H_
