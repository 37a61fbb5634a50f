/// @file
/// A backend server as the choice of a server sees it.
#ifndef COMFREYVANE_EDGE_SERVER_SLOT_H_
#define COMFREYVANE_EDGE_SERVER_SLOT_H_

#include "comfreyvane/base/basic_id.h"
#include "comfreyvane/base/fwd.h"
#include "comfreyvane/base/time.h"
#include "comfreyvane/edge/backend_state.h"
#include "comfreyvane/edge/pick_request.h"
#include "comfreyvane/route/distance.h"

namespace comfreyvane {

/// A backend server as the choice of a server sees it. Part of BackendPicker.
struct ServerSlot {
  BackendState state;
  Distance distance = Distance::kOtherRegion;
  RegionId region{};
  TimePoint joined_at{};  ///< Or returned; zero: before the first request.
  bool is_evacuated = false;
  bool is_initial_sender =
      false;               ///< This host is one of those that first use it.
  double cold_rate = 0.0;  ///< What it gets from here while cold, requests/s.

  /// @return whether it is in use and a request may run and was not tried
  /// there.
  [[nodiscard]] bool MayRun(const PickRequest& request) const {
    return !state.is_leaving() && !is_evacuated && request.MayRunIn(region) &&
           !request.HasTried(state.entry().id());
  }
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_EDGE_SERVER_SLOT_H_
