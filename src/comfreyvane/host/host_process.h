/// @file
/// The process on an entry host.
#ifndef COMFREYVANE_HOST_HOST_PROCESS_H_
#define COMFREYVANE_HOST_HOST_PROCESS_H_

#include <atomic>
#include <boost/asio/ssl/context.hpp>
#include <functional>
#include <memory>
#include <vector>

#include "comfreyvane/host/control_loop.h"
#include "comfreyvane/host/host_context.h"
#include "comfreyvane/host/worker.h"

namespace comfreyvane {

/// Serves callers until it is told to stop, and then stops gracefully.
class HostProcess {
 public:
  /// Opens the ports.
  /// @param settings must outlive the process.
  /// @param incarnation greater than that of each earlier run of this host.
  /// @throws boost::system::system_error if a port cannot be opened or a
  /// certificate cannot be read.
  HostProcess(const HostSettings& settings,
              Incarnation incarnation,
              TimePoint now);
  ~HostProcess();
  HostProcess(const HostProcess&) = delete;
  HostProcess& operator=(const HostProcess&) = delete;

  /// Serves until the stop is complete.
  void Run();

  /// Starts the stop. May be called from any thread and repeatedly.
  void Stop(TimePoint now);

 private:
  void Take(const StopActions& actions);

  const HostSettings& settings_;
  HostId self_;
  MetricsRegistry metrics_;
  ActiveConfiguration configuration_;
  DispatcherTable dispatchers_;
  ShardedLimits limits_;
  HostRecords host_records_;
  StoreRecords store_records_;
  CrashDesk crashes_;
  Locked<ConfigurationCore> configurations_;
  Locked<SteeringCore> steering_;
  DecisionLog decisions_;
  StopGate stop_;
  std::atomic<bool> exchange_wanted_{false};
  HostContext context_;
  std::unique_ptr<asio::ssl::context> tls_;
  ControlLoop control_;
  std::vector<std::unique_ptr<Worker>> workers_;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_HOST_HOST_PROCESS_H_
