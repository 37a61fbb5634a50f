/// @file
/// Parsing of single settings.
#ifndef COMFREYVANE_SETTINGS_SETTING_PARSERS_H_
#define COMFREYVANE_SETTINGS_SETTING_PARSERS_H_

#include <charconv>
#include <cstdint>
#include <filesystem>
#include <optional>
#include <string>

#include "comfreyvane/base/time.h"
#include "comfreyvane/log/log_level.h"
#include "comfreyvane/settings/settings_error_kind.h"

namespace comfreyvane {

/// The fault that a parser found, or nothing.
using ParseFault = std::optional<SettingsErrorKind>;

/// Parses a name of a host, failure domain or region: letters, digits, '.',
/// '_', '-'.
[[nodiscard]] ParseFault ParseName(const std::string& text, std::string& out);

/// Parses an IP address to listen on; the unspecified address is allowed.
[[nodiscard]] ParseFault ParseListenAddress(const std::string& text,
                                            std::string& out);

/// Parses an IP address that others connect to.
[[nodiscard]] ParseFault ParseReachableAddress(const std::string& text,
                                               std::string& out);

/// Parses a TCP port from 1 to 65535.
[[nodiscard]] ParseFault ParsePort(const std::string& text, std::uint16_t& out);

/// Parses the name of a log level.
[[nodiscard]] ParseFault ParseLevel(const std::string& text, LogLevel& out);

/// Parses the path of a file that can be read and is not empty.
/// @param folder what a relative path is relative to.
[[nodiscard]] ParseFault ParseReadableFile(const std::filesystem::path& folder,
                                           const std::string& text,
                                           std::filesystem::path& out);

/// Parses a whole number of decimal digits between two bounds.
/// @tparam T an unsigned integer.
template <typename T>
[[nodiscard]] ParseFault ParseNumber(const std::string& text,
                                     T least,
                                     T greatest,
                                     T& out) {
  T value = 0;
  const char* end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, value);
  if (error == std::errc::result_out_of_range && stop == end)
    return SettingsErrorKind::kOutOfRange;
  if (error != std::errc() || stop != end)
    return SettingsErrorKind::kNotANumber;
  if (value < least || value > greatest)
    return SettingsErrorKind::kOutOfRange;
  out = value;
  return std::nullopt;
}

/// Parses a timeout: whole milliseconds from 1 to one hour.
[[nodiscard]] ParseFault ParseTimeout(const std::string& text, Duration& out);

}  // namespace comfreyvane

#endif  // COMFREYVANE_SETTINGS_SETTING_PARSERS_H_
