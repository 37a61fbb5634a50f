/// @file
/// Keeps track of a gateway's path to backend servers.
#ifndef COMFREYVANE_GATEWAY_PATH_SUPERVISOR_H_
#define COMFREYVANE_GATEWAY_PATH_SUPERVISOR_H_

#include <boost/asio/io_context.hpp>

#include "comfreyvane/edge/backend_entry.h"
#include "comfreyvane/edge/path_change.h"
#include "comfreyvane/gateway/backend_client.h"
#include "comfreyvane/gateway/gateway_context.h"
#include "comfreyvane/gateway/gateway_dispatcher.h"
#include "comfreyvane/net/async.h"

namespace comfreyvane {

/// Applies the judgement of PathMonitor: tells the picker which servers are
/// reached, gives requests that wait for others a new way, and sends probes.
class PathSupervisor {
 public:
  PathSupervisor(GatewayContext& context,
                 asio::io_context& io,
                 TimeoutSweeper& sweeper,
                 GatewayDispatcher& dispatcher,
                 BackendClient& backend_client);

  /// Must be called periodically.
  void OnTick(TimePoint now);

 private:
  void LogChange(const PathChange& change) const;
  [[nodiscard]] bool CanProbe(BackendServerId server, TimePoint now) const;
  /// Sends a health check to a server over a connection of its own.
  [[nodiscard]] asio::awaitable<void> Probe(BackendEntry entry);
  /// @return whether an answer was received.
  [[nodiscard]] asio::awaitable<bool> Check(BackendConnection& connection,
                                            BackendEntry entry);

  GatewayContext& context_;
  asio::io_context& io_;
  TimeoutSweeper& sweeper_;
  GatewayDispatcher& dispatcher_;
  BackendClient& backend_client_;
  bool was_disturbed_ = false;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_GATEWAY_PATH_SUPERVISOR_H_
