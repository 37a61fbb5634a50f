#include "comfreyvane/settings/setting_parsers.h"

#include <algorithm>
#include <boost/asio/ip/address.hpp>
#include <cctype>
#include <fstream>

namespace comfreyvane {
namespace {

constexpr std::size_t kMaxNameBytes = 64;
constexpr std::uint32_t kMaxTimeoutMs = 60 * 60 * 1000;

std::optional<boost::asio::ip::address> Address(const std::string& text) {
  boost::system::error_code error;
  const auto address = boost::asio::ip::make_address(text, error);
  if (error)
    return std::nullopt;
  return address;
}

}  // namespace

ParseFault ParseName(const std::string& text, std::string& out) {
  const bool valid =
      !text.empty() && text.size() <= kMaxNameBytes &&
      std::all_of(text.begin(), text.end(), [](unsigned char c) {
        return std::isalnum(c) != 0 || c == '.' || c == '_' || c == '-';
      });
  if (!valid)
    return SettingsErrorKind::kNotAName;
  out = text;
  return std::nullopt;
}

ParseFault ParseListenAddress(const std::string& text, std::string& out) {
  const auto address = Address(text);
  if (!address || address->is_multicast())
    return SettingsErrorKind::kNotAnIpAddress;
  out = text;
  return std::nullopt;
}

ParseFault ParseReachableAddress(const std::string& text, std::string& out) {
  const auto address = Address(text);
  if (!address || address->is_multicast() || address->is_unspecified())
    return SettingsErrorKind::kNotAnIpAddress;
  out = text;
  return std::nullopt;
}

ParseFault ParsePort(const std::string& text, std::uint16_t& out) {
  if (ParseNumber<std::uint16_t>(text, 1, 65535, out))
    return SettingsErrorKind::kNotAPort;
  return std::nullopt;
}

ParseFault ParseLevel(const std::string& text, LogLevel& out) {
  const auto level = ParseLogLevel(text);
  if (!level)
    return SettingsErrorKind::kNotALogLevel;
  out = *level;
  return std::nullopt;
}

ParseFault ParseReadableFile(const std::filesystem::path& folder,
                             const std::string& text,
                             std::filesystem::path& out) {
  const std::filesystem::path path = folder / text;
  std::error_code error;
  if (text.empty() || !std::filesystem::is_regular_file(path, error))
    return SettingsErrorKind::kPathUnreadable;
  std::ifstream file(path);
  if (!file || file.peek() == std::ifstream::traits_type::eof())
    return SettingsErrorKind::kPathUnreadable;
  out = path;
  return std::nullopt;
}

ParseFault ParseTimeout(const std::string& text, Duration& out) {
  std::uint32_t milliseconds = 0;
  const ParseFault fault =
      ParseNumber<std::uint32_t>(text, 1, kMaxTimeoutMs, milliseconds);
  if (!fault)
    out = std::chrono::milliseconds(milliseconds);
  return fault;
}

}  // namespace comfreyvane
