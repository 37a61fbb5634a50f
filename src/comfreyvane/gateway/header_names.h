/// @file
/// Names of the header fields that the gateway reads and writes.
#ifndef COMFREYVANE_GATEWAY_HEADER_NAMES_H_
#define COMFREYVANE_GATEWAY_HEADER_NAMES_H_

#include <string>

namespace comfreyvane {

/// Names of the header fields that callers, backend servers and the gateway
/// exchange.
struct HeaderNames {
  std::string request_id;   ///< Identifier of a caller's attempt.
  std::string deadline_ms;  ///< Time that the sender waits, in ms.
  std::string affinity;     ///< Cookie that identifies the request's object.
  std::string seal;         ///< A backend server's signature of its answer.
  std::string workspace;    ///< Workspace name, sent to backend servers.
  std::string expected_server;  ///< Server that must handle the request.
  std::string load;             ///< Server load as "running,waiting,slots".
  std::string not_run;          ///< Set if the server did not run the request.

  friend bool operator==(const HeaderNames&, const HeaderNames&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_GATEWAY_HEADER_NAMES_H_
