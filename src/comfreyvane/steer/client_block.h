/// @file
/// Block of client addresses.
#ifndef COMFREYVANE_STEER_CLIENT_BLOCK_H_
#define COMFREYVANE_STEER_CLIENT_BLOCK_H_

#include <boost/leaf/result.hpp>
#include <compare>
#include <string>
#include <string_view>

#include "comfreyvane/steer/client_address.h"

namespace comfreyvane {

/// A prefix of IPv4 or IPv6 addresses.
class ClientBlock {
 public:
  constexpr ClientBlock() = default;

  /// @param address any address of the block.
  /// @param length bits of the prefix, at most those of the family.
  ClientBlock(const ClientAddress& address, unsigned length)
      : first_(address.Prefix(length)),
        length_(static_cast<unsigned char>(length)) {}

  /// @param text a prefix such as "192.0.2.0/24" or "2001:db8::/48".
  /// @return the block, or an AddressError.
  [[nodiscard]] static boost::leaf::result<ClientBlock> Parse(
      std::string_view text);

  /// @return the lowest address of the block.
  [[nodiscard]] constexpr const ClientAddress& first() const { return first_; }

  /// @return bits of the prefix.
  [[nodiscard]] constexpr unsigned length() const { return length_; }

  /// @return whether the address lies in the block.
  [[nodiscard]] bool Contains(const ClientAddress& address) const;

  /// @return the usual text form, such as "192.0.2.0/24".
  [[nodiscard]] std::string ToString() const;

  friend constexpr auto operator<=>(const ClientBlock&,
                                    const ClientBlock&) = default;

 private:
  ClientAddress first_;
  unsigned char length_ = 0;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_STEER_CLIENT_BLOCK_H_
