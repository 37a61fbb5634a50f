/// @file
/// Loading of the settings file.
#ifndef COMFREYVANE_SETTINGS_LOAD_HOST_SETTINGS_H_
#define COMFREYVANE_SETTINGS_LOAD_HOST_SETTINGS_H_

#include <boost/leaf/result.hpp>
#include <filesystem>
#include <string>

#include "comfreyvane/settings/host_settings.h"
#include "comfreyvane/settings/settings_errors.h"

namespace comfreyvane {

/// Fewest bytes of the peers' secret and of the operators' token.
inline constexpr std::size_t kMinSecretBytes = 16;

/// Reads and checks a settings file in INI form, and that the files it names
/// can be read.
/// @param path the settings file.
/// @return the settings, or the error object SettingsErrors with every fault.
[[nodiscard]] boost::leaf::result<HostSettings> LoadHostSettings(
    const std::filesystem::path& path);

/// Reads a file that holds one secret on one line.
/// @param path a file that LoadHostSettings() has checked.
/// @return its text without white space at either end; empty if unreadable.
[[nodiscard]] std::string ReadSecretFile(const std::filesystem::path& path);

}  // namespace comfreyvane

#endif  // COMFREYVANE_SETTINGS_LOAD_HOST_SETTINGS_H_
