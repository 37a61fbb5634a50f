/// @file
/// JSON encoding of hosts and heartbeats.
#ifndef COMFREYVANE_GATEWAY_FLEET_CODEC_H_
#define COMFREYVANE_GATEWAY_FLEET_CODEC_H_

#include <optional>
#include <string>
#include <string_view>

#include "comfreyvane/edge/fleet_host.h"
#include "comfreyvane/gateway/heartbeat.h"

namespace comfreyvane {

/// @return a host's row in the store, as JSON.
[[nodiscard]] std::string EncodeFleetHost(const FleetHost& host);

/// @return the host, or nothing if the text is not a valid host row.
[[nodiscard]] std::optional<FleetHost> ParseFleetHost(std::string_view text);

/// @return a heartbeat as JSON.
[[nodiscard]] std::string EncodeHeartbeat(const Heartbeat& heartbeat);

/// @return the heartbeat, or nothing if the text is not a valid heartbeat.
[[nodiscard]] std::optional<Heartbeat> ParseHeartbeat(std::string_view text);

}  // namespace comfreyvane

#endif  // COMFREYVANE_GATEWAY_FLEET_CODEC_H_
