/// @file
/// Gateways, backend servers and a store for the soak.
#ifndef TESTS_SOAK_SOAK_FLEET_H_
#define TESTS_SOAK_SOAK_FLEET_H_

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <filesystem>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "comfreyvane/net/timeout_sweeper.h"
#include "platform/store_standin.h"
#include "processes/child_process.h"
#include "soak/fault_proxy.h"
#include "soak/host_links.h"
#include "soak/soak_options.h"
#include "soak/soak_server.h"

namespace comfreyvane::soak {

/// Gateways as processes of their own, and stand-ins on one thread. Two thirds
/// of the gateways and servers are in one region, the rest in another. Between
/// each gateway and the store and each backend server, and before each backend
/// server, is a proxy that injects faults.
class SoakFleet {
 public:
  /// Limit of a workspace, in requests/s for each caller.
  static constexpr double kRateOfCaller = 19.0;
  static constexpr double kBurst = 50.0;
  static constexpr std::size_t kServers = 6;
  /// Requests/s that one of the servers names as its limit.
  static constexpr int kServerLimit = 3;

  explicit SoakFleet(SoakOptions options);
  ~SoakFleet();
  SoakFleet(const SoakFleet&) = delete;
  SoakFleet& operator=(const SoakFleet&) = delete;

  [[nodiscard]] std::size_t size() const { return hosts_.size(); }
  [[nodiscard]] std::uint16_t caller_port(std::size_t host) const {
    return hosts_[host].caller_port;
  }
  /// @return the port at which a host answers look-ups.
  [[nodiscard]] std::uint16_t look_up_port(std::size_t host) const {
    return hosts_[host].look_up_port;
  }
  [[nodiscard]] const std::filesystem::path& folder() const { return folder_; }
  [[nodiscard]] const SoakOptions& options() const { return options_; }
  [[nodiscard]] RunRecord& record() { return record_; }
  /// @return requests that a server runs at once: all of a fleet's callers.
  [[nodiscard]] int slots() const {
    return std::max(SoakServer::kLeastSlots,
                    static_cast<int>(options_.callers));
  }
  /// @return requests/s of the workspace with a limit.
  [[nodiscard]] double rate() const {
    return kRateOfCaller * static_cast<double>(options_.callers);
  }

  void Start(std::size_t host);
  void Signal(std::size_t host, int signal) const;
  /// Waits for the end of a process that was told to stop.
  /// @return whether it ended by itself, with success.
  [[nodiscard]] bool Join(std::size_t host);
  /// @return whether a process has ended, which Join does not wait for then.
  [[nodiscard]] bool HasEnded(std::size_t host) const;

  void SetStorePath(std::size_t host, ProxyMode mode);
  void ResetStorePath(std::size_t host);
  /// Cuts a host from all backend servers.
  void CutFromServers(std::size_t host, CutKind kind);
  void RestoreServers(std::size_t host);
  void SetServerPath(std::size_t server, ProxyMode mode);
  void ResetServerPath(std::size_t server);
  void SetServerFaults(std::size_t server, double part);
  /// A server runs few requests at once, or as many as its entry says.
  void SetServerBusy(std::size_t server, bool is_busy);
  void SetStoreFaults(const testing::StoreStandin::Faults& faults);
  /// Servers name a limit in requests/s; nothing to name none.
  void SetServerLimit(std::size_t server, std::optional<double> limit);
  /// A server reports to the store that it leaves.
  void LeaveServer(std::size_t server);
  /// Ends a server's run, and removes its entry.
  void StopServer(std::size_t server);
  /// Starts a server under a new name at the address that it had.
  void RestartServer(std::size_t server);
  /// Puts a new version of the configuration in the store. Its workspace gets
  /// the fleet's rate.
  void Configure(SoakConfiguration configuration);
  /// Copies the store, or brings it back from the copy.
  void BackUpStore();
  void RestoreStore();
  void Evacuate(const std::string& domain, bool evacuated);

 private:
  struct Host {
    std::uint16_t caller_port = 0;
    std::uint16_t look_up_port = 0;
    std::string settings_file;
    std::unique_ptr<HostLinks> links;
    std::unique_ptr<FaultProxy> store_path;
    std::unique_ptr<processes::ChildProcess> process;
    std::size_t starts = 0;
  };
  struct Server {
    std::unique_ptr<SoakServer> standin;
    std::size_t number = 0;  ///< Of its entry; a new one for each run.
    std::unique_ptr<FaultProxy> path;
  };

  void AddServer(std::size_t slot);
  void AddHost(std::size_t number);
  /// Puts the entry of a server's run in the store.
  void PutEntry(std::size_t server, const std::string& state);
  [[nodiscard]] std::string SettingsText(std::size_t number) const;
  /// Runs a function on the stand-ins' thread.
  void Post(std::function<void()> change);

  SoakOptions options_;
  std::filesystem::path folder_;
  RunRecord record_;
  asio::io_context io_{1};
  TimeoutSweeper sweeper_;
  testing::StoreStandin store_;
  std::vector<Server> servers_;
  std::vector<Host> hosts_;
  unsigned version_ = 0;
  std::string configuration_text_;  ///< Of the last version.
  std::thread thread_;
};

}  // namespace comfreyvane::soak

#endif  // TESTS_SOAK_SOAK_FLEET_H_
