/// @file
/// Family of an address.
#ifndef COMFREYVANE_STEER_ADDRESS_FAMILY_H_
#define COMFREYVANE_STEER_ADDRESS_FAMILY_H_

namespace comfreyvane {

/// Family of an IP address.
enum class AddressFamily : unsigned char { kV4, kV6 };

}  // namespace comfreyvane

#endif  // COMFREYVANE_STEER_ADDRESS_FAMILY_H_
