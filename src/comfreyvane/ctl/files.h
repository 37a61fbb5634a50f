/// @file
/// Files of comfreyctl.
#ifndef COMFREYVANE_CTL_FILES_H_
#define COMFREYVANE_CTL_FILES_H_

#include <boost/leaf/result.hpp>
#include <filesystem>
#include <string>

#include "comfreyvane/config/caller_key.h"
#include "comfreyvane/config/configuration.h"

namespace comfreyvane::ctl {

/// @param path a configuration's file; "-" is standard input.
/// @return the configuration, or the error object FileError or ParseErrors.
[[nodiscard]] boost::leaf::result<Configuration> ReadConfigurationFile(
    const std::filesystem::path& path);

/// @param path a file that begins with the operators' token.
/// @return the token, or the error object FileError.
[[nodiscard]] boost::leaf::result<std::string> ReadTokenFile(
    const std::filesystem::path& path);

/// Writes a key to a new file that only its owner can read.
/// @param path must not exist.
/// @return nothing, or the error object FileError.
[[nodiscard]] boost::leaf::result<void> WriteKeyFile(
    const std::filesystem::path& path,
    const CallerKey& key);

}  // namespace comfreyvane::ctl

#endif  // COMFREYVANE_CTL_FILES_H_
