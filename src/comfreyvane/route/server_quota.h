/// @file
/// Connection quota of a host at a backend server.
#ifndef COMFREYVANE_ROUTE_SERVER_QUOTA_H_
#define COMFREYVANE_ROUTE_SERVER_QUOTA_H_

#include <cstdint>

#include "comfreyvane/base/basic_id.h"

namespace comfreyvane {

/// Number of connections that a host may open to a backend server.
struct ServerQuota {
  BackendServerId server;
  std::uint32_t connections = 0;  ///< Maximum for this host; may be zero.
  std::uint32_t hosts = 0;        ///< Number of hosts with a quota above zero.

  friend bool operator==(const ServerQuota&, const ServerQuota&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_ROUTE_SERVER_QUOTA_H_
