/// @file
/// Ends uses of connections that have gone silent.
#ifndef COMFREYVANE_HOST_CONNECTION_WATCH_H_
#define COMFREYVANE_HOST_CONNECTION_WATCH_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <unordered_map>
#include <unordered_set>

#include "comfreyvane/host/host_context.h"
#include "comfreyvane/net/async.h"
#include "comfreyvane/net/backend_connection.h"
#include "comfreyvane/net/timeout_sweeper.h"
#include "comfreyvane/route/connection_monitor.h"

namespace comfreyvane {

/// Runs the connection monitor of one thread's connections to backend servers.
class ConnectionWatch {
 public:
  ConnectionWatch(HostContext& context,
                  asio::io_context& io,
                  TimeoutSweeper& sweeper);

  /// Starts to look for silent connections; ends with the io_context.
  void Start();

  /// @return an identifier for a connection that has just been opened.
  [[nodiscard]] ConnectionId OnOpened(BackendServerId server, TimePoint now);

  /// @return whether an idle connection is fresh enough to carry the request.
  [[nodiscard]] bool MayCarry(ConnectionId connection,
                              bool idempotent,
                              TimePoint now) const;

  /// Starts a use.
  /// @param carrier must live until the use ends.
  void OnUse(ConnectionId connection,
             BackendConnection& carrier,
             bool idempotent,
             TimePoint now);
  void OnProgress(ConnectionId connection, TimePoint now);

  /// Ends a use.
  /// @param answered whether its answer came whole and the connection is kept.
  void OnEnded(ConnectionId connection, bool answered, TimePoint now);
  void OnClosed(ConnectionId connection);

  /// @return whether the use was ended because its connection was silent.
  /// Forgets it.
  [[nodiscard]] bool TakeSilent(ConnectionId connection);

 private:
  void Wait();
  void OnTick(TimePoint now);
  [[nodiscard]] asio::awaitable<void> Check(BackendServerId server);

  HostContext& context_;
  asio::io_context& io_;
  TimeoutSweeper& sweeper_;
  asio::steady_timer timer_;
  ConnectionMonitor monitor_;
  std::unordered_map<ConnectionId, BackendConnection*> used_;
  std::unordered_set<ConnectionId> silent_;
  std::uint64_t next_id_ = 1;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_HOST_CONNECTION_WATCH_H_
