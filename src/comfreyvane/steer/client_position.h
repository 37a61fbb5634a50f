/// @file
/// Position of a client among the shares of a service.
#ifndef COMFREYVANE_STEER_CLIENT_POSITION_H_
#define COMFREYVANE_STEER_CLIENT_POSITION_H_

#include <cstdint>

#include "comfreyvane/base/basic_id.h"
#include "comfreyvane/steer/client_address.h"

namespace comfreyvane {

/// Place of a client in the sequence of kWholeShare positions that a
/// service's sites divide among them.
using ClientPosition = std::uint16_t;

/// Clients of one IPv4 block of this length share a position.
inline constexpr unsigned kPositionBitsV4 = 24;

/// Clients of one IPv6 block of this length share a position.
inline constexpr unsigned kPositionBitsV6 = 48;

/// @return the same position on every host and in every revision.
[[nodiscard]] ClientPosition PositionOf(const ClientAddress& client,
                                        ServiceId service);

}  // namespace comfreyvane

#endif  // COMFREYVANE_STEER_CLIENT_POSITION_H_
