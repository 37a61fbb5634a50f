/// @file
/// Current view of an entry host.
#ifndef COMFREYVANE_STEER_HOST_VIEW_H_
#define COMFREYVANE_STEER_HOST_VIEW_H_

#include <cstdint>
#include <string>

#include "comfreyvane/base/basic_id.h"
#include "comfreyvane/base/incarnation.h"

namespace comfreyvane {

/// An entry host that answers may name, from the current membership view.
struct HostView {
  HostId id{};
  Incarnation incarnation{};
  std::string address{};          ///< IP address.
  std::uint16_t caller_port = 0;  ///< Port for callers.
  FailureDomainId failure_domain{};
  bool leaving = false;    ///< Excluded from answers.
  std::uint32_t load = 0;  ///< Requests in progress.

  friend bool operator==(const HostView&, const HostView&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_STEER_HOST_VIEW_H_
