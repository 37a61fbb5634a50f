/// @file
/// A backend server.
#ifndef COMFREYVANE_CONFIG_BACKEND_SERVER_H_
#define COMFREYVANE_CONFIG_BACKEND_SERVER_H_

#include <cstdint>
#include <string>

namespace comfreyvane {

/// One backend server of a service, at a site.
struct BackendServer {
  std::string name;
  std::string service;
  std::string site;
  std::string address;  ///< IP address.
  std::uint16_t port = 0;
  std::uint32_t slots = 0;        ///< Requests it runs at a time.
  std::uint32_t connections = 0;  ///< Connections it accepts over all hosts.
  bool leaving = false;           ///< Gets no new work.

  friend bool operator==(const BackendServer&, const BackendServer&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_CONFIG_BACKEND_SERVER_H_
