/// @file
/// Actions that ConnectionMonitor requests from the owner of the connections.
#ifndef COMFREYVANE_ROUTE_CONNECTION_EVENT_H_
#define COMFREYVANE_ROUTE_CONNECTION_EVENT_H_

#include <variant>

#include "comfreyvane/base/basic_id.h"
#include "comfreyvane/base/run_state.h"
#include "comfreyvane/route/connection_id.h"

namespace comfreyvane {

/// Requests a load report from the server over a new connection; its result
/// goes to ConnectionMonitor::OnCheckResult.
struct CheckServer {
  BackendServerId server;

  friend bool operator==(const CheckServer&, const CheckServer&) = default;
};

/// Closes an unused connection.
struct CloseConnection {
  ConnectionId connection;

  friend bool operator==(const CloseConnection&,
                         const CloseConnection&) = default;
};

/// Closes the connection and fails the attempt that uses it. An idempotent
/// request may be retried over a new connection.
struct FailAttempt {
  ConnectionId connection;
  BackendServerId server;
  RunState run_state = RunState::kUnknown;

  friend bool operator==(const FailAttempt&, const FailAttempt&) = default;
};

/// Action that ConnectionMonitor requests from the owner of the connections.
using ConnectionAction =
    std::variant<CheckServer, CloseConnection, FailAttempt>;

}  // namespace comfreyvane

#endif  // COMFREYVANE_ROUTE_CONNECTION_EVENT_H_
