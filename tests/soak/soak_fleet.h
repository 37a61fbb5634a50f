/// @file
/// Gateways, backend servers and a store for the soak.
#ifndef TESTS_SOAK_SOAK_FLEET_H_
#define TESTS_SOAK_SOAK_FLEET_H_

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <filesystem>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "comfreyvane/net/caller_listener.h"
#include "comfreyvane/net/timeout_sweeper.h"
#include "platform/store_standin.h"
#include "processes/child_process.h"
#include "soak/fault_proxy.h"
#include "soak/host_links.h"
#include "soak/soak_server.h"

namespace comfreyvane::soak {

/// Gateways as processes of their own, and stand-ins on one thread. Between
/// each gateway and the store and each backend server, and before each backend
/// server, is a proxy that injects faults.
class SoakFleet {
 public:
  /// Limit of the workspace that all requests belong to.
  static constexpr int kRate = 150;
  static constexpr int kBurst = 50;
  static constexpr std::size_t kServers = 6;
  /// Requests/s that one of the servers names as its limit.
  static constexpr int kServerLimit = 3;

  /// @param own_domains whether each host has a failure domain of its own, so
  ///     that it does not read the entries of servers through another host.
  SoakFleet(std::string program,
            std::size_t hosts,
            std::uint64_t seed,
            bool own_domains);
  ~SoakFleet();
  SoakFleet(const SoakFleet&) = delete;
  SoakFleet& operator=(const SoakFleet&) = delete;

  [[nodiscard]] std::size_t size() const { return hosts_.size(); }
  [[nodiscard]] std::uint16_t caller_port(std::size_t host) const {
    return hosts_[host].caller_port;
  }
  [[nodiscard]] const std::filesystem::path& folder() const { return folder_; }
  [[nodiscard]] RunRecord& record() { return record_; }

  void Start(std::size_t host);
  void Signal(std::size_t host, int signal) const;
  /// Waits for the end of a process that was told to stop.
  /// @return whether it ended by itself, with success.
  [[nodiscard]] bool Join(std::size_t host);

  void SetStorePath(std::size_t host, ProxyMode mode);
  void ResetStorePath(std::size_t host);
  /// Cuts a host from all backend servers.
  void CutFromServers(std::size_t host, CutKind kind);
  void RestoreServers(std::size_t host);
  void SetServerPath(std::size_t server, ProxyMode mode);
  void ResetServerPath(std::size_t server);
  void SetServerFaults(std::size_t server, double part);
  void SetStoreFaults(const testing::StoreStandin::Faults& faults);
  /// Puts a new version of the configuration in the store.
  void Configure(int timeout_ms);
  void Evacuate(const std::string& domain, bool evacuated);

 private:
  struct Host {
    std::uint16_t caller_port = 0;
    std::string settings_file;
    std::unique_ptr<HostLinks> links;
    std::unique_ptr<FaultProxy> store_path;
    std::unique_ptr<processes::ChildProcess> process;
  };
  struct Server {
    std::unique_ptr<SoakServer> standin;
    std::unique_ptr<CallerListener<SoakServer>> listener;
    std::unique_ptr<FaultProxy> path;
  };

  void AddServer(std::size_t number, std::uint64_t seed);
  void AddHost(std::size_t number, std::size_t hosts, bool own_domains);
  /// Runs a function on the stand-ins' thread.
  void Post(std::function<void()> change);

  std::string program_;
  std::filesystem::path folder_;
  RunRecord record_;
  asio::io_context io_{1};
  TimeoutSweeper sweeper_;
  testing::StoreStandin store_;
  std::vector<Server> servers_;
  std::vector<Host> hosts_;
  unsigned version_ = 0;
  std::thread thread_;
};

}  // namespace comfreyvane::soak

#endif  // TESTS_SOAK_SOAK_FLEET_H_
