/// @file
/// Where an entry host is reached.
#ifndef COMFREYVANE_CTL_HOST_ADDRESS_H_
#define COMFREYVANE_CTL_HOST_ADDRESS_H_

#include <compare>
#include <cstdint>
#include <iosfwd>
#include <optional>
#include <string>
#include <string_view>

namespace comfreyvane::ctl {

/// Address and peer port of an entry host.
struct HostAddress {
  std::string address;  ///< IPv4 or IPv6, without brackets.
  std::uint16_t port = 0;

  friend auto operator<=>(const HostAddress&, const HostAddress&) = default;
};

/// Writes "127.0.0.1:8081" or "[::1]:8081".
std::ostream& operator<<(std::ostream& out, const HostAddress& host);

/// @param text as operator<< writes it.
/// @return the address, or nothing if the text is none.
[[nodiscard]] std::optional<HostAddress> ParseHostAddress(
    std::string_view text);

}  // namespace comfreyvane::ctl

#endif  // COMFREYVANE_CTL_HOST_ADDRESS_H_
