/// @file
/// An entry of the platform's host list.
#ifndef COMFREYVANE_STORAGE_HOST_LISTING_H_
#define COMFREYVANE_STORAGE_HOST_LISTING_H_

#include <cstdint>
#include <string>

#include "comfreyvane/storage/host_state.h"

namespace comfreyvane {

/// An entry of the platform's lagging list of hosts.
struct HostListing {
  std::string name;
  std::string failure_domain;
  std::string address;            ///< IP address.
  std::uint16_t caller_port = 0;  ///< Where callers connect.
  std::uint16_t peer_port = 0;    ///< Where peers connect.
  HostState state = HostState::kLive;

  friend bool operator==(const HostListing&, const HostListing&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_STORAGE_HOST_LISTING_H_
