/// @file
/// State of one host.
#ifndef COMFREYVANE_OPERATE_HOST_STATUS_H_
#define COMFREYVANE_OPERATE_HOST_STATUS_H_

#include <cstdint>
#include <string>

#include "comfreyvane/base/revision.h"

namespace comfreyvane {

/// What the answering host knows of a host.
struct HostStatus {
  std::string name;
  std::string failure_domain;
  std::string state;           ///< "live", "suspect", "leaving" or "dead".
  Revision in_force;           ///< The revision in force there, as last heard.
  bool lags = false;           ///< Its revision is older than the accepted.
  std::uint64_t heard_ms = 0;  ///< Milliseconds since it was last heard.

  friend bool operator==(const HostStatus&, const HostStatus&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_OPERATE_HOST_STATUS_H_
