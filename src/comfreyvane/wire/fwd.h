/// @file
/// Forward declarations of package wire.
#ifndef COMFREYVANE_WIRE_FWD_H_
#define COMFREYVANE_WIRE_FWD_H_

namespace comfreyvane {

enum class SteerWireError;

}  // namespace comfreyvane

#endif  // COMFREYVANE_WIRE_FWD_H_
