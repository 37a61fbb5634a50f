/// @file
/// Service configuration of the edge.
#ifndef COMFREYVANE_EDGE_EDGE_SERVICE_H_
#define COMFREYVANE_EDGE_EDGE_SERVICE_H_

#include <cstdint>
#include <string>

#include "comfreyvane/base/time.h"

namespace comfreyvane {

/// A group of interchangeable backend servers.
struct EdgeService {
  std::string name;
  std::string health_path;
  std::uint32_t max_connections = 0;  ///< Per backend server, over all callers.
  Duration cold_time{};               ///< After the start of a backend server.
  double cold_rate = 0.0;  ///< Requests/s that a cold backend server can take.

  friend bool operator==(const EdgeService&, const EdgeService&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_EDGE_EDGE_SERVICE_H_
