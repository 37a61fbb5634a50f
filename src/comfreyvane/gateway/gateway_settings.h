/// @file
/// Settings of the gateway process.
#ifndef COMFREYVANE_GATEWAY_GATEWAY_SETTINGS_H_
#define COMFREYVANE_GATEWAY_GATEWAY_SETTINGS_H_

#include <cstdint>
#include <map>
#include <string>

#include "comfreyvane/base/time.h"
#include "comfreyvane/edge/workspace_limiter.h"
#include "comfreyvane/log/log_level.h"
#include "comfreyvane/settings/endpoint.h"

namespace comfreyvane {

/// Settings of a gateway.
struct GatewaySettings {
  std::string name;               ///< host.name
  std::string failure_domain;     ///< host.failure_domain
  std::string region;             ///< host.region
  std::uint32_t memory_mb = 256;  ///< host.memory_mb
  double processor_share = 1.0;   ///< host.processor_share, in cores
  /// domains.*: the region of each failure domain.
  std::map<std::string, std::string> domains;
  Endpoint callers;                          ///< listen.callers
  Endpoint readiness;                        ///< listen.readiness
  Endpoint lookups;                          ///< listen.lookups
  Endpoint peers;                            ///< listen.peers
  Endpoint metrics;                          ///< listen.metrics
  Endpoint platform;                         ///< platform.address
  LogLevel log_level = LogLevel::kInfo;      ///< log.level
  Duration grace = std::chrono::seconds(6);  ///< stop.grace_s
  /// lookups.most_ttl_s: maximum time for which callers may cache an answer.
  Duration max_lookup_ttl = std::chrono::seconds(5);
  /// regions.most_shift: maximum fraction of a region's requests that may move
  /// to other regions, or back, between consecutive windows of two seconds.
  double max_shift = 0.15;
  /// configuration.max_age_ms: time within which an accepted configuration is
  /// in force. Requests bound to regions are not sent by one that has not been
  /// confirmed for so long.
  Duration max_configuration_age = std::chrono::milliseconds(2500);
  LimitTolerance limits;      ///< limits.*
  double retry_ratio = 0.2;   ///< retries.ratio
  double retry_slack = 50.0;  ///< retries.slack

  friend bool operator==(const GatewaySettings&,
                         const GatewaySettings&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_GATEWAY_GATEWAY_SETTINGS_H_
