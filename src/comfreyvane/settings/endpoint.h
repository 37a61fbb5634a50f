/// @file
/// An IP address and a port.
#ifndef COMFREYVANE_SETTINGS_ENDPOINT_H_
#define COMFREYVANE_SETTINGS_ENDPOINT_H_

#include <compare>
#include <cstdint>
#include <string>

namespace comfreyvane {

/// An IP address and a TCP port.
struct Endpoint {
  std::string address;     ///< IPv4 or IPv6, without brackets.
  std::uint16_t port = 0;  ///< Never zero in loaded settings.

  friend auto operator<=>(const Endpoint&, const Endpoint&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_SETTINGS_ENDPOINT_H_
