#include "comfreyvane/settings/setting_table.h"

#include <limits>

namespace comfreyvane {
namespace {

using Rows = std::vector<SettingRow>;

constexpr std::uint32_t kMinHeaderBytes = 1024;
constexpr std::uint32_t kMaxHeaderBytes = 1024 * 1024;
constexpr std::uint32_t kMaxThreads = 256;

template <typename Parse, typename Member>
auto Into(Parse parse, Member member) {
  return [=](const std::string& text, HostSettings& settings) {
    return parse(text, member(settings));
  };
}

template <typename Object, typename First, typename... Rest>
auto& Select(Object& object, First first, Rest... rest) {
  if constexpr (sizeof...(rest) == 0)
    return object.*first;
  else
    return Select(object.*first, rest...);
}

/// Selects a member, through pointers from the outermost inwards.
template <typename... Pointers>
auto Member(Pointers... pointers) {
  return [=](HostSettings& settings) -> decltype(auto) {
    return Select(settings, pointers...);
  };
}

template <typename T>
auto Number(T least, T greatest) {
  return [=](const std::string& text, T& out) {
    return ParseNumber<T>(text, least, greatest, out);
  };
}

void AddHost(Rows& rows) {
  rows.push_back({"host.name", true, "name of this host",
                  Into(ParseName, Member(&HostSettings::name))});
  rows.push_back({"host.failure_domain", true, "its failure domain",
                  Into(ParseName, Member(&HostSettings::failure_domain))});
  rows.push_back({"host.region", true, "its region",
                  Into(ParseName, Member(&HostSettings::region))});
  rows.push_back(
      {"host.advertised_address", true,
       "IP address at which others reach this host",
       Into(ParseReachableAddress, Member(&HostSettings::advertised_address))});
  rows.push_back({"host.threads", false, "threads that serve requests",
                  Into(Number<std::uint32_t>(1, kMaxThreads),
                       Member(&HostSettings::threads))});
}

void AddEndpoints(Rows& rows) {
  rows.push_back({"caller.address", true, "IP address for callers",
                  Into(ParseListenAddress,
                       Member(&HostSettings::caller, &Endpoint::address))});
  rows.push_back(
      {"caller.port", true, "port for callers",
       Into(ParsePort, Member(&HostSettings::caller, &Endpoint::port))});
  rows.push_back({"peer.address", true, "IP address for peers and operators",
                  Into(ParseListenAddress,
                       Member(&HostSettings::peer, &Endpoint::address))});
  rows.push_back(
      {"peer.port", true, "port for peers and operators",
       Into(ParsePort, Member(&HostSettings::peer, &Endpoint::port))});
  rows.push_back({"platform.address", true, "IP address of the platform",
                  Into(ParseReachableAddress,
                       Member(&HostSettings::platform, &Endpoint::address))});
  rows.push_back(
      {"platform.port", true, "port of the platform",
       Into(ParsePort, Member(&HostSettings::platform, &Endpoint::port))});
}

void AddFiles(Rows& rows, const std::filesystem::path& folder) {
  const auto file = [folder](const std::string& text,
                             std::filesystem::path& out) {
    return ParseReadableFile(folder, text, out);
  };
  rows.push_back({"peer.secret_file", true, "file with the peers' secret",
                  Into(file, Member(&HostSettings::peer_secret_file))});
  rows.push_back({"operator.token_file", true, "file with the operators' token",
                  Into(file, Member(&HostSettings::operator_token_file))});
  rows.push_back({"tls.certificate_file", false, "certificate chain, PEM",
                  Into(file, [](HostSettings& s) -> decltype(auto) {
                    if (!s.tls)
                      s.tls.emplace();
                    return (s.tls->certificate_file);
                  })});
  rows.push_back({"tls.private_key_file", false, "its private key, PEM",
                  Into(file, [](HostSettings& s) -> decltype(auto) {
                    if (!s.tls)
                      s.tls.emplace();
                    return (s.tls->private_key_file);
                  })});
}

void AddLimits(Rows& rows) {
  rows.push_back(
      {"limits.header_bytes", false, "most bytes of a request head",
       Into(Number<std::uint32_t>(kMinHeaderBytes, kMaxHeaderBytes),
            Member(&HostSettings::limits, &RequestLimits::header_bytes))});
  rows.push_back(
      {"limits.body_bytes", false, "most bytes of a request body",
       Into(Number<std::uint64_t>(0, std::numeric_limits<std::int64_t>::max()),
            Member(&HostSettings::limits, &RequestLimits::body_bytes))});
  rows.push_back(
      {"limits.connections", false, "most open caller connections",
       Into(Number<std::uint32_t>(1, 1000000),
            Member(&HostSettings::limits, &RequestLimits::connections))});
  rows.push_back({"limits.header_timeout_ms", false, "for a whole request head",
                  Into(ParseTimeout, Member(&HostSettings::limits,
                                            &RequestLimits::header_timeout))});
  rows.push_back(
      {"limits.body_timeout_ms", false, "between two parts of a request body",
       Into(ParseTimeout,
            Member(&HostSettings::limits, &RequestLimits::body_timeout))});
  rows.push_back(
      {"limits.idle_timeout_ms", false, "between two requests of a connection",
       Into(ParseTimeout,
            Member(&HostSettings::limits, &RequestLimits::idle_timeout))});
}

void AddTimeouts(Rows& rows) {
  rows.push_back(
      {"timeouts.backend_connect_ms", false, "connecting to a backend server",
       Into(ParseTimeout, Member(&HostSettings::timeouts,
                                 &TimeoutSettings::backend_connect))});
  rows.push_back({"timeouts.platform_call_ms", false, "a call to the platform",
                  Into(ParseTimeout, Member(&HostSettings::timeouts,
                                            &TimeoutSettings::platform_call))});
  rows.push_back({"timeouts.peer_call_ms", false, "a call to a peer",
                  Into(ParseTimeout, Member(&HostSettings::timeouts,
                                            &TimeoutSettings::peer_call))});
  rows.push_back(
      {"timeouts.stop_ms", false, "running requests at a planned stop",
       Into(ParseTimeout,
            Member(&HostSettings::timeouts, &TimeoutSettings::stop))});
}

}  // namespace

std::vector<SettingRow> SettingTable(const std::filesystem::path& folder) {
  Rows rows;
  AddHost(rows);
  AddEndpoints(rows);
  AddFiles(rows, folder);
  rows.push_back({"log.level", false, "trace, debug, info, warning or error",
                  Into(ParseLevel, Member(&HostSettings::log_level))});
  AddLimits(rows);
  AddTimeouts(rows);
  return rows;
}

}  // namespace comfreyvane
