/// @file
/// Running requests of a host at a backend server.
#ifndef COMFREYVANE_ROUTE_SERVER_USE_H_
#define COMFREYVANE_ROUTE_SERVER_USE_H_

#include <cstdint>

#include "comfreyvane/base/basic_id.h"

namespace comfreyvane {

/// Running requests of one host at one backend server.
struct ServerUse {
  BackendServerId server;
  std::uint32_t in_use = 0;  ///< Number of running requests.

  friend bool operator==(const ServerUse&, const ServerUse&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_ROUTE_SERVER_USE_H_
