/// @file
/// Registry entry of a backend server.
#ifndef COMFREYVANE_EDGE_BACKEND_ENTRY_H_
#define COMFREYVANE_EDGE_BACKEND_ENTRY_H_

#include <cstdint>
#include <string>

#include "comfreyvane/base/basic_id.h"
#include "comfreyvane/base/fwd.h"
#include "comfreyvane/base/time.h"

namespace comfreyvane {

/// Registry entry of a backend server.
struct BackendEntry {
  /// Identifier; usually a new one for each start of the server.
  std::string name;
  ServiceId service;
  std::string address;  ///< IP address.
  std::uint16_t port = 0;
  FailureDomainId failure_domain;
  std::uint32_t slots = 1;
  bool draining = false;
  Duration cold_for{};  ///< Counted from the time when the entry was read.
  /// Unix time of the server's start, milliseconds.
  std::int64_t started_ms = 0;
  std::int64_t sequence = 0;  ///< Increases with each entry of one incarnation.

  [[nodiscard]] BackendServerId id() const { return BackendServerId::Of(name); }

  friend bool operator==(const BackendEntry&, const BackendEntry&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_EDGE_BACKEND_ENTRY_H_
