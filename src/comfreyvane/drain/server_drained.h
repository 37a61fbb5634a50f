/// @file
/// Report of a drained backend server.
#ifndef COMFREYVANE_DRAIN_SERVER_DRAINED_H_
#define COMFREYVANE_DRAIN_SERVER_DRAINED_H_

#include "comfreyvane/base/basic_id.h"
#include "comfreyvane/base/time.h"

namespace comfreyvane {

/// This host's last request at a leaving backend server has finished.
struct ServerDrained {
  BackendServerId server;
  Duration drain_time{0};  ///< Time since the server was marked as leaving.

  friend bool operator==(const ServerDrained&, const ServerDrained&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_DRAIN_SERVER_DRAINED_H_
