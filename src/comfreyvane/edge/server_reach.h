/// @file
/// How a host reaches a backend server.
#ifndef COMFREYVANE_EDGE_SERVER_REACH_H_
#define COMFREYVANE_EDGE_SERVER_REACH_H_

#include <cstdint>

namespace comfreyvane {

/// How a host reaches a backend server, apart from the server's own health.
enum class ServerReach : std::uint8_t {
  kDirect,
  kOpenConnections,  ///< New connections fail; those that are open work.
  kNone,
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_EDGE_SERVER_REACH_H_
