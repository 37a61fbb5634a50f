/// @file
/// Room that the request limits of backend servers leave for a request.
#ifndef COMFREYVANE_EDGE_LIMITED_ROOM_H_
#define COMFREYVANE_EDGE_LIMITED_ROOM_H_

#include "comfreyvane/base/time.h"

namespace comfreyvane {

/// Room that request limits leave for a request, where each server that may run
/// it has one.
struct LimitedRoom {
  /// Time until this host may send one request; maximum: not foreseeable.
  Duration wait{};
  double own_rate = 0.0;    ///< Requests/s that this host may send.
  double fleet_rate = 0.0;  ///< Requests/s of all hosts together.

  friend bool operator==(const LimitedRoom&, const LimitedRoom&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_EDGE_LIMITED_ROOM_H_
