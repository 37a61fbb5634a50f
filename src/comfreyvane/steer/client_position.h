/// @file
/// Positions, by which the sites of a service share its clients.
#ifndef COMFREYVANE_STEER_CLIENT_POSITION_H_
#define COMFREYVANE_STEER_CLIENT_POSITION_H_

#include <cstdint>

#include "comfreyvane/base/basic_id.h"
#include "comfreyvane/steer/client_address.h"

namespace comfreyvane {

/// Hash bucket of a client, below kWholeShare. A share map assigns each
/// position of a service to a site.
using ClientPosition = std::uint16_t;

/// Prefix length of the IPv4 blocks whose clients share a position.
inline constexpr unsigned kPositionBitsV4 = 24;

/// Prefix length of the IPv6 blocks whose clients share a position.
inline constexpr unsigned kPositionBitsV6 = 48;

/// @return the client's position; the same on every host and in every revision.
[[nodiscard]] ClientPosition PositionOf(const ClientAddress& client,
                                        ServiceId service);

}  // namespace comfreyvane

#endif  // COMFREYVANE_STEER_CLIENT_POSITION_H_
