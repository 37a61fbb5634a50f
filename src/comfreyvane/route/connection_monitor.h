/// @file
/// Detects unresponsive connections.
#ifndef COMFREYVANE_ROUTE_CONNECTION_MONITOR_H_
#define COMFREYVANE_ROUTE_CONNECTION_MONITOR_H_

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "comfreyvane/base/basic_id.h"
#include "comfreyvane/base/time.h"
#include "comfreyvane/route/connection_event.h"
#include "comfreyvane/route/connection_id.h"
#include "comfreyvane/route/connection_limits.h"
#include "comfreyvane/route/latency_histogram.h"

namespace comfreyvane {

/// Detects unresponsive connections to backend servers and peers.
///
/// A request that makes no progress for longer than its server's usual latency
/// is suspected to be lost. The monitor then requests a load report from the
/// server over a new connection. If the server runs fewer requests than this
/// host has outstanding there, the difference is lost, and that many suspected
/// requests fail. If it runs as many, the requests are slow and may take up to
/// confirmed_timeout_factor times the usual latency. If the server does not
/// respond to two checks in a row, all suspected requests fail.
///
/// A connection carries one request at a time. A connection whose request was
/// abandoned or has failed is closed and never reused, so a late response
/// cannot be taken for the response to another request.
class ConnectionMonitor {
 public:
  explicit ConnectionMonitor(ConnectionLimits limits);

  /// Adds a newly opened connection.
  void OnOpened(ConnectionId connection, BackendServerId server, TimePoint now);
  /// Starts a request on the connection. MayCarry must have allowed it.
  void OnUse(ConnectionId connection, bool idempotent, TimePoint now);
  /// Records that bytes of the response have arrived.
  /// @return false if the request has already ended; the bytes must be dropped.
  bool OnProgress(ConnectionId connection, TimePoint now);
  /// Ends a request whose response is complete.
  /// @param keep false if the server closes the connection.
  /// @return false if the request has already ended; the response must be
  ///     dropped.
  bool OnAnswered(ConnectionId connection, bool keep, TimePoint now);
  /// Ends a request without a response, because the caller disconnected, the
  /// deadline passed or another attempt was faster. Closes the connection.
  void OnAbandoned(ConnectionId connection);
  /// Removes a connection that the owner found closed.
  void OnClosed(ConnectionId connection);
  /// Removes a server. It must not have open connections.
  void OnServerRemoved(BackendServerId server);
  /// Processes the result of CheckServer.
  /// @param in_use number of requests that the server reports as running; empty
  ///     if the server did not respond.
  void OnCheckResult(BackendServerId server,
                     std::optional<std::uint32_t> in_use,
                     TimePoint now);
  /// @return the actions that are due. Each action is returned once.
  [[nodiscard]] std::vector<ConnectionAction> TakeActions(TimePoint now);

  /// @return whether the connection is unused and was active recently enough to
  ///     carry a request.
  [[nodiscard]] bool MayCarry(ConnectionId connection,
                              bool idempotent,
                              TimePoint now) const;
  /// @return when TakeActions must be called next; empty without connections.
  [[nodiscard]] std::optional<TimePoint> NextDue() const;
  [[nodiscard]] std::size_t connections() const { return connections_.size(); }
  /// @return total number of connections found unresponsive.
  [[nodiscard]] std::uint64_t silent_connections() const {
    return silent_connections_;
  }

 private:
  struct Connection {
    BackendServerId server;
    bool in_use = false;
    bool idempotent = false;
    TimePoint use_start{};
    TimePoint last_progress{};
    TimePoint last_alive{};
  };
  struct Server {
    std::uint32_t uses = 0;
    LatencyHistogram latencies;
    bool checking = false;
    TimePoint check_start{};
    TimePoint next_check{};
    std::uint32_t failed_checks = 0;
  };

  void EndUse(Connection& connection);
  void FailSilent(ConnectionId connection);
  void FailSuspects(BackendServerId server,
                    std::uint32_t max_count,
                    TimePoint now);
  void FailTimedOut(ConnectionId connection, TimePoint now);
  void StartCheck(BackendServerId server, TimePoint now);
  void ExpireChecks(TimePoint now);
  [[nodiscard]] TimePoint SuspectAt(const Connection& connection) const;
  [[nodiscard]] TimePoint TimeoutAt(const Connection& connection) const;

  ConnectionLimits limits_;
  std::unordered_map<ConnectionId, Connection> connections_;
  std::unordered_map<BackendServerId, Server> servers_;
  std::vector<ConnectionAction> actions_;
  std::uint64_t silent_connections_ = 0;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_ROUTE_CONNECTION_MONITOR_H_
