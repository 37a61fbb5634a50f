#include "comfreyvane/declare/backend_server_builder.h"

#include <utility>

namespace comfreyvane::declare {

BackendServerBuilder::BackendServerBuilder(std::string name,
                                           const std::string& service) {
  value_.name = std::move(name);
  value_.service = service;
}

BackendServerBuilder& BackendServerBuilder::At(const SiteHandle& site) {
  value_.site = site.name();
  return *this;
}

BackendServerBuilder& BackendServerBuilder::Listens(std::string address,
                                                    std::uint16_t port) {
  value_.address = std::move(address);
  value_.port = port;
  return *this;
}

BackendServerBuilder& BackendServerBuilder::Slots(std::uint32_t slots) {
  value_.slots = slots;
  return *this;
}

BackendServerBuilder& BackendServerBuilder::Connections(
    std::uint32_t connections) {
  value_.connections = connections;
  return *this;
}

BackendServerBuilder& BackendServerBuilder::Leaving() {
  value_.leaving = true;
  return *this;
}

}  // namespace comfreyvane::declare
