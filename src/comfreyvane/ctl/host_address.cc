#include "comfreyvane/ctl/host_address.h"

#include <boost/asio/ip/address.hpp>
#include <charconv>
#include <ostream>

namespace comfreyvane::ctl {
namespace {

std::optional<std::uint16_t> ParsePort(std::string_view text) {
  std::uint16_t port = 0;
  const char* end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, port);
  if (error != std::errc() || stop != end || port == 0)
    return std::nullopt;
  return port;
}

}  // namespace

std::ostream& operator<<(std::ostream& out, const HostAddress& host) {
  if (host.address.find(':') != std::string::npos)
    return out << '[' << host.address << "]:" << host.port;
  return out << host.address << ':' << host.port;
}

std::optional<HostAddress> ParseHostAddress(std::string_view text) {
  const auto colon = text.rfind(':');
  if (colon == std::string_view::npos)
    return std::nullopt;
  const auto port = ParsePort(text.substr(colon + 1));
  std::string_view address = text.substr(0, colon);
  const bool bracketed = address.starts_with('[') && address.ends_with(']');
  if (bracketed)
    address = address.substr(1, address.size() - 2);
  boost::system::error_code error;
  const auto ip = boost::asio::ip::make_address(std::string(address), error);
  if (!port || error || ip.is_v6() != bracketed)
    return std::nullopt;
  return HostAddress{std::string(address), *port};
}

}  // namespace comfreyvane::ctl
