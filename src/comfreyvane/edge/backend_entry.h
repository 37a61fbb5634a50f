/// @file
/// A backend server as the registry lists it.
#ifndef COMFREYVANE_EDGE_BACKEND_ENTRY_H_
#define COMFREYVANE_EDGE_BACKEND_ENTRY_H_

#include <cstdint>
#include <string>

#include "comfreyvane/base/basic_id.h"
#include "comfreyvane/base/fwd.h"
#include "comfreyvane/base/time.h"

namespace comfreyvane {

/// A backend server as the registry lists it.
struct BackendEntry {
  std::string name;  ///< Its identifier; new for most starts.
  ServiceId service;
  std::string address;  ///< IP address.
  std::uint16_t port = 0;
  FailureDomainId failure_domain;
  std::uint32_t slots = 1;
  bool draining = false;
  Duration cold_for{};          ///< From the moment the entry was read.
  std::int64_t started_ms = 0;  ///< Unix time of its start, milliseconds.
  std::int64_t sequence = 0;    ///< Grows with each entry of one life.

  [[nodiscard]] BackendServerId id() const { return BackendServerId::Of(name); }

  friend bool operator==(const BackendEntry&, const BackendEntry&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_EDGE_BACKEND_ENTRY_H_
