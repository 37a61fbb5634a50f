/// @file
/// IP address of a client.
#ifndef COMFREYVANE_STEER_CLIENT_ADDRESS_H_
#define COMFREYVANE_STEER_CLIENT_ADDRESS_H_

#include <boost/leaf/result.hpp>
#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

#include "comfreyvane/steer/address_error.h"
#include "comfreyvane/steer/address_family.h"

namespace comfreyvane {

/// An IPv4 or IPv6 address. The bits are left-aligned in 128 bits, so that
/// prefixes of both families are handled alike.
class ClientAddress {
 public:
  constexpr ClientAddress() = default;

  /// @param bits the address in host byte order.
  [[nodiscard]] static constexpr ClientAddress V4(std::uint32_t bits) {
    return {AddressFamily::kV4, static_cast<std::uint64_t>(bits) << 32U, 0};
  }

  /// @param high the first 64 bits, in host byte order.
  /// @param low the last 64 bits.
  [[nodiscard]] static constexpr ClientAddress V6(std::uint64_t high,
                                                  std::uint64_t low) {
    return {AddressFamily::kV6, high, low};
  }

  /// @param text an address such as "192.0.2.1" or "2001:db8::1". An
  ///     IPv4-mapped IPv6 address yields the IPv4 address.
  /// @return the address, or AddressError::kMalformedAddress.
  [[nodiscard]] static boost::leaf::result<ClientAddress> Parse(
      std::string_view text);

  [[nodiscard]] constexpr AddressFamily family() const { return family_; }
  [[nodiscard]] constexpr std::uint64_t high() const { return high_; }
  [[nodiscard]] constexpr std::uint64_t low() const { return low_; }

  /// @return the IPv4 bits; the family must be IPv4.
  [[nodiscard]] constexpr std::uint32_t v4() const {
    return static_cast<std::uint32_t>(high_ >> 32U);
  }

  /// @param length bits to keep, up to 32 for IPv4 and 128 for IPv6.
  /// @return the address with the bits after the prefix cleared.
  [[nodiscard]] ClientAddress Prefix(unsigned length) const;

  /// @return the text form of inet_ntop.
  [[nodiscard]] std::string ToString() const;

  friend constexpr auto operator<=>(const ClientAddress&,
                                    const ClientAddress&) = default;

 private:
  constexpr ClientAddress(AddressFamily family,
                          std::uint64_t high,
                          std::uint64_t low)
      : family_(family), high_(high), low_(low) {}

  AddressFamily family_ = AddressFamily::kV4;
  std::uint64_t high_ = 0;
  std::uint64_t low_ = 0;
};

/// @return the number of bits of an address of the family.
[[nodiscard]] constexpr unsigned AddressBits(AddressFamily family) {
  return family == AddressFamily::kV4 ? 32 : 128;
}

}  // namespace comfreyvane

#endif  // COMFREYVANE_STEER_CLIENT_ADDRESS_H_
