/// @file
/// What the monitor asks of the connections' owner.
#ifndef COMFREYVANE_ROUTE_CONNECTION_EVENT_H_
#define COMFREYVANE_ROUTE_CONNECTION_EVENT_H_

#include <variant>

#include "comfreyvane/base/basic_id.h"
#include "comfreyvane/base/run_state.h"
#include "comfreyvane/route/connection_id.h"

namespace comfreyvane {

/// Ask the server for its load over a fresh connection and pass the answer to
/// ConnectionMonitor::OnCheckResult.
struct CheckServer {
  BackendServerId server;

  friend bool operator==(const CheckServer&, const CheckServer&) = default;
};

/// Close the connection; nothing uses it.
struct CloseConnection {
  ConnectionId connection;

  friend bool operator==(const CloseConnection&,
                         const CloseConnection&) = default;
};

/// Close the connection and end the attempt that uses it. An idempotent one may
/// be repeated over a fresh connection.
struct FailAttempt {
  ConnectionId connection;
  BackendServerId server;
  RunState run_state = RunState::kUnknown;

  friend bool operator==(const FailAttempt&, const FailAttempt&) = default;
};

/// What the monitor asks of the connections' owner.
using ConnectionAction =
    std::variant<CheckServer, CloseConnection, FailAttempt>;

}  // namespace comfreyvane

#endif  // COMFREYVANE_ROUTE_CONNECTION_EVENT_H_
