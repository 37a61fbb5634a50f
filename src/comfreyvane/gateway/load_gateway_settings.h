/// @file
/// Loading of the gateway's settings file.
#ifndef COMFREYVANE_GATEWAY_LOAD_GATEWAY_SETTINGS_H_
#define COMFREYVANE_GATEWAY_LOAD_GATEWAY_SETTINGS_H_

#include <boost/leaf/result.hpp>
#include <filesystem>
#include <iosfwd>
#include <string>

#include "comfreyvane/gateway/gateway_settings.h"

namespace comfreyvane {

/// Reads and checks settings in INI format. Unknown settings are ignored.
/// @param file file name in errors.
/// @return the settings, or the error object SettingsErrors with all errors.
[[nodiscard]] boost::leaf::result<GatewaySettings> ReadGatewaySettings(
    std::istream& in,
    const std::string& file);

/// Reads and checks a settings file.
[[nodiscard]] boost::leaf::result<GatewaySettings> LoadGatewaySettings(
    const std::filesystem::path& path);

}  // namespace comfreyvane

#endif  // COMFREYVANE_GATEWAY_LOAD_GATEWAY_SETTINGS_H_
