/// @file
/// What lies between one host and the backend servers and the store.
#ifndef TESTS_SOAK_HOST_LINKS_H_
#define TESTS_SOAK_HOST_LINKS_H_

#include <cstdint>
#include <memory>
#include <vector>

#include "platform/served.h"
#include "platform/store_view.h"
#include "soak/fault_proxy.h"

namespace comfreyvane::soak {

/// Proxies between one host and the backend servers, and the store as the host
/// reads it, with the ports of these proxies. Used by one thread.
class HostLinks {
 public:
  /// @param server_ports in the order of the servers' numbers. Later numbers
  ///     use the ports again.
  HostLinks(asio::io_context& io,
            TimeoutSweeper& sweeper,
            testing::StoreStandin& store,
            const std::vector<std::uint16_t>& server_ports)
      : view_(store,
              [this](std::size_t server) {
                return paths_[server % paths_.size()]->port();
              }),
        served_(io, sweeper, view_) {
    for (const std::uint16_t port : server_ports)
      paths_.push_back(std::make_unique<FaultProxy>(io, port));
  }
  HostLinks(const HostLinks&) = delete;
  HostLinks& operator=(const HostLinks&) = delete;

  /// @return the port of the store.
  [[nodiscard]] std::uint16_t store_port() const { return served_.port(); }

  /// Cuts the host from all servers.
  void Cut(CutKind kind) {
    for (const auto& path : paths_)
      path->Cut(kind);
  }
  void Restore() {
    for (const auto& path : paths_)
      path->Restore();
  }

 private:
  std::vector<std::unique_ptr<FaultProxy>> paths_;  ///< By server.
  testing::StoreView view_;
  testing::Served<testing::StoreView> served_;
};

}  // namespace comfreyvane::soak

#endif  // TESTS_SOAK_HOST_LINKS_H_
