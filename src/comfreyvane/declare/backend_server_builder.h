/// @file
/// Declaration of a backend server.
#ifndef COMFREYVANE_DECLARE_BACKEND_SERVER_BUILDER_H_
#define COMFREYVANE_DECLARE_BACKEND_SERVER_BUILDER_H_

#include <cstdint>
#include <string>

#include "comfreyvane/config/backend_server.h"
#include "comfreyvane/declare/handle.h"

namespace comfreyvane::declare {

/// Declares one backend server of a service. Everything but Leaving() has to be
/// given.
class BackendServerBuilder {
 public:
  BackendServerBuilder(std::string name, const std::string& service);

  /// The site at which it stands.
  BackendServerBuilder& At(const SiteHandle& site);

  /// @param address its IP address.
  /// @param port its TCP port.
  BackendServerBuilder& Listens(std::string address, std::uint16_t port);

  /// Requests that it runs at a time.
  BackendServerBuilder& Slots(std::uint32_t slots);

  /// Connections that it accepts over all hosts together.
  BackendServerBuilder& Connections(std::uint32_t connections);

  /// It gets no new work.
  BackendServerBuilder& Leaving();

  [[nodiscard]] const BackendServer& value() const { return value_; }

 private:
  BackendServer value_;
};

}  // namespace comfreyvane::declare

#endif  // COMFREYVANE_DECLARE_BACKEND_SERVER_BUILDER_H_
