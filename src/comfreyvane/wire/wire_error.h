/// @file
/// Errors of the codecs.
#ifndef COMFREYVANE_WIRE_WIRE_ERROR_H_
#define COMFREYVANE_WIRE_WIRE_ERROR_H_

namespace comfreyvane {

/// Why JSON from a peer cannot be used. Travels as a Boost.LEAF error object.
enum class WireError {
  kMissingMember,  ///< A member is not there.
  kUnknownMember,  ///< A member that no version of the message has.
  kIllTyped,       ///< A member of another type, or out of its range.
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_WIRE_WIRE_ERROR_H_
