/// @file
/// Settings of the process on an entry host.
#ifndef COMFREYVANE_SETTINGS_HOST_SETTINGS_H_
#define COMFREYVANE_SETTINGS_HOST_SETTINGS_H_

#include <cstdint>
#include <filesystem>
#include <optional>
#include <string>

#include "comfreyvane/log/log_level.h"
#include "comfreyvane/settings/endpoint.h"
#include "comfreyvane/settings/request_limits.h"
#include "comfreyvane/settings/timeout_settings.h"
#include "comfreyvane/settings/tls_settings.h"

namespace comfreyvane {

/// What a host learns from its settings file. Relative paths in the file have
/// been resolved against the file's folder.
struct HostSettings {
  std::string name;            ///< host.name
  std::string failure_domain;  ///< host.failure_domain
  std::string region;          ///< host.region
  Endpoint caller;             ///< caller.address and caller.port
  Endpoint peer;               ///< peer.address and peer.port
  /// host.advertised_address: the address that others use to reach this host.
  std::string advertised_address;
  Endpoint platform;                          ///< platform.address and port
  std::filesystem::path peer_secret_file;     ///< peer.secret_file
  std::filesystem::path operator_token_file;  ///< operator.token_file
  std::optional<TlsSettings> tls;             ///< tls.*, both or neither
  LogLevel log_level = LogLevel::kInfo;       ///< log.level
  std::uint32_t threads = 1;                  ///< host.threads
  RequestLimits limits;                       ///< limits.*
  TimeoutSettings timeouts;                   ///< timeouts.*

  friend bool operator==(const HostSettings&, const HostSettings&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_SETTINGS_HOST_SETTINGS_H_
