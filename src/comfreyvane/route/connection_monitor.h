/// @file
/// Finds connections that have gone silent.
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

/// Finds connections to backend servers and peers that have gone silent.
///
/// A use without progress for longer than its server's answers take is
/// suspect, and the server is asked over a fresh connection how many requests
/// it runs. Fewer than this host has there: one of them is lost, and suspect
/// uses end. As many: the request is slow, and waits up to
/// confirmed_timeout_factor times the slowest recent answer. No answer twice:
/// all suspect uses end.
///
/// A connection carries one use at a time. One with an abandoned or ended use
/// is closed and never used again, so that no late answer meets another
/// request.
class ConnectionMonitor {
 public:
  explicit ConnectionMonitor(ConnectionLimits limits);

  /// Adds a connection that has just been opened.
  void OnOpened(ConnectionId connection, BackendServerId server, TimePoint now);
  /// Starts a use. The connection must be idle and MayCarry it.
  void OnUse(ConnectionId connection, bool idempotent, TimePoint now);
  /// Notes bytes of the answer.
  /// @return false if the use has ended: the bytes belong to nobody.
  bool OnProgress(ConnectionId connection, TimePoint now);
  /// Ends a use whose answer came whole.
  /// @param keep false if the server closes the connection.
  /// @return false if the use has ended before: drop the answer.
  bool OnAnswered(ConnectionId connection, bool keep, TimePoint now);
  /// Ends a use without its answer (caller gone, deadline, hedge lost).
  void OnAbandoned(ConnectionId connection);
  /// Forgets a connection that the owner found closed.
  void OnClosed(ConnectionId connection);
  /// Forgets a server that has no connection left.
  void OnServerRemoved(BackendServerId server);
  /// Takes in the answer to CheckServer.
  /// @param in_use requests that the server says it runs; none: no answer.
  void OnCheckResult(BackendServerId server,
                     std::optional<std::uint32_t> in_use,
                     TimePoint now);
  /// @return what to do now, each action once.
  [[nodiscard]] std::vector<ConnectionAction> TakeActions(TimePoint now);

  /// @return whether the connection is idle and fresh enough to carry a
  /// request.
  [[nodiscard]] bool MayCarry(ConnectionId connection,
                              bool idempotent,
                              TimePoint now) const;
  /// @return when TakeActions is to be called next, if a use is running.
  [[nodiscard]] std::optional<TimePoint> NextDue() const;
  [[nodiscard]] std::size_t connections() const { return connections_.size(); }
  /// @return connections found silent so far.
  [[nodiscard]] std::uint64_t silent() const { return silent_; }

 private:
  struct Connection {
    BackendServerId server;
    bool used = false;
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
  void Fail(ConnectionId connection);
  void FailSuspects(BackendServerId server, std::uint32_t most, TimePoint now);
  void Lose(ConnectionId connection, TimePoint now);
  void Check(BackendServerId server, TimePoint now);
  void EndChecks(TimePoint now);
  [[nodiscard]] TimePoint SuspectAt(const Connection& connection) const;
  [[nodiscard]] TimePoint LostAt(const Connection& connection) const;

  ConnectionLimits limits_;
  std::unordered_map<ConnectionId, Connection> connections_;
  std::unordered_map<BackendServerId, Server> servers_;
  std::vector<ConnectionAction> actions_;
  std::uint64_t silent_ = 0;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_ROUTE_CONNECTION_MONITOR_H_
