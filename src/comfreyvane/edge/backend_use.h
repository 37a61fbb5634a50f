/// @file
/// Running requests of a host at a backend server.
#ifndef COMFREYVANE_EDGE_BACKEND_USE_H_
#define COMFREYVANE_EDGE_BACKEND_USE_H_

#include <cstdint>

#include "comfreyvane/base/basic_id.h"
#include "comfreyvane/base/fwd.h"

namespace comfreyvane {

/// Number of requests of one host that run at a backend server.
struct BackendUse {
  BackendServerId server;
  std::uint32_t running = 0;

  friend bool operator==(const BackendUse&, const BackendUse&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_EDGE_BACKEND_USE_H_
