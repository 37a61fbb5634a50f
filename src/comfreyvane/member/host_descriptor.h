/// @file
/// How to reach a host.
#ifndef COMFREYVANE_MEMBER_HOST_DESCRIPTOR_H_
#define COMFREYVANE_MEMBER_HOST_DESCRIPTOR_H_

#include <cstdint>
#include <string>

#include "comfreyvane/base/basic_id.h"

namespace comfreyvane {

/// How to reach a host.
struct HostDescriptor {
  std::string name;
  std::string failure_domain;
  std::string address;            ///< IP address.
  std::uint16_t caller_port = 0;  ///< Where callers connect.
  std::uint16_t peer_port = 0;    ///< Where peers connect.

  /// @return the identifier that hosts derive from the name.
  [[nodiscard]] HostId id() const { return HostId::Of(name); }

  /// @return the identifier of the failure domain.
  [[nodiscard]] FailureDomainId domain() const {
    return FailureDomainId::Of(failure_domain);
  }

  friend bool operator==(const HostDescriptor&,
                         const HostDescriptor&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_MEMBER_HOST_DESCRIPTOR_H_
