/// @file
/// Names of the fields that the gateway reads and writes.
#ifndef COMFREYVANE_GATEWAY_HEADER_DIALECT_H_
#define COMFREYVANE_GATEWAY_HEADER_DIALECT_H_

#include <string>

namespace comfreyvane {

/// Names of the fields by which callers, backend servers and the gateway
/// understand each other.
struct HeaderDialect {
  std::string request_id;       ///< Identifies one attempt of a caller.
  std::string deadline_ms;      ///< Time that the sender will wait.
  std::string affinity;         ///< Cookie that names the request's object.
  std::string seal;             ///< A backend server's signature of its answer.
  std::string workspace;        ///< Name of the workspace, to backend servers.
  std::string expected_server;  ///< The backend server that is meant.
  std::string load;             ///< "running,waiting,slots" of a server.
  std::string not_run;          ///< The backend server has not run the request.

  friend bool operator==(const HeaderDialect&, const HeaderDialect&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_GATEWAY_HEADER_DIALECT_H_
