/// @file
/// Reasons for the failure of an attempt.
#ifndef COMFREYVANE_ROUTE_ATTEMPT_OUTCOME_H_
#define COMFREYVANE_ROUTE_ATTEMPT_OUTCOME_H_

namespace comfreyvane {

/// Reason why an attempt produced no response that can be sent to the caller.
enum class AttemptOutcome {
  kConnectFailed,  ///< No connection could be established.
  kClosed,  ///< The connection was closed before the response was complete.
  kShed,    ///< The server refused the request without executing it.
  kServerError,  ///< A complete response with a server error status.
  kMalformed,    ///< The response is not valid HTTP.
  kTimeout,      ///< No response before the timeout.
  kSilent,       ///< ConnectionMonitor found the connection unresponsive.
  kCrashed,      ///< The server crashed.
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_ROUTE_ATTEMPT_OUTCOME_H_
