/// @file
/// Parse errors of addresses and blocks.
#ifndef COMFREYVANE_STEER_ADDRESS_ERROR_H_
#define COMFREYVANE_STEER_ADDRESS_ERROR_H_

namespace comfreyvane {

/// Reason why a text is not a valid address or block. Passed as a Boost.LEAF
/// error object.
enum class AddressError {
  kMalformedAddress,
  kMalformedLength,
  kLengthTooLong,
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_STEER_ADDRESS_ERROR_H_
