/// @file
/// What a host knows of the load of a backend server.
#ifndef COMFREYVANE_EDGE_SERVER_LOAD_H_
#define COMFREYVANE_EDGE_SERVER_LOAD_H_

#include <compare>

#include "comfreyvane/base/time.h"

namespace comfreyvane {

/// Load of a backend server, from what it and other hosts report and from the
/// requests of this host.
struct ServerLoad {
  /// Its slots may all be taken: at least half of them were when its load was
  /// last reported, or it has not been reported yet.
  bool is_busy = false;
  Duration wait{};  ///< Expected time until a slot is free.

  friend auto operator<=>(const ServerLoad&, const ServerLoad&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_EDGE_SERVER_LOAD_H_
