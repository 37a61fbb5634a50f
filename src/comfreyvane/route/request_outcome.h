/// @file
/// Outcomes of an attempt, as evidence about its backend server.
#ifndef COMFREYVANE_ROUTE_REQUEST_OUTCOME_H_
#define COMFREYVANE_ROUTE_REQUEST_OUTCOME_H_

namespace comfreyvane {

/// Outcome of an attempt, as evidence about the health of its backend server.
enum class RequestOutcome {
  kOk,       ///< A complete response without a server error status.
  kFailed,   ///< A server error status, or an incomplete or invalid response.
  kShed,     ///< The server refused the request without executing it.
  kTimeout,  ///< No response before the timeout.
  kConnectFailed,  ///< No connection could be established.
  kCrashed,        ///< The server crashed while it ran the request.
  kCancelled,      ///< Cancelled by this host; no evidence about the server.
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_ROUTE_REQUEST_OUTCOME_H_
