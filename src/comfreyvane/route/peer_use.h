/// @file
/// Message that reports a host's running requests per backend server.
#ifndef COMFREYVANE_ROUTE_PEER_USE_H_
#define COMFREYVANE_ROUTE_PEER_USE_H_

#include <cstdint>
#include <vector>

#include "comfreyvane/base/basic_id.h"
#include "comfreyvane/base/incarnation.h"
#include "comfreyvane/route/server_use.h"

namespace comfreyvane {

/// Message between hosts of a failure domain: the number of requests that the
/// sender runs at each backend server. Servers that are not listed run none.
struct PeerUse {
  HostId host;
  Incarnation incarnation;
  std::uint64_t sequence = 0;  ///< Increases within an incarnation.
  ServiceId service;
  std::vector<ServerUse> servers{};

  friend bool operator==(const PeerUse&, const PeerUse&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_ROUTE_PEER_USE_H_
