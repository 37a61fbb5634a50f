/// @file
/// Request to a host.
#ifndef COMFREYVANE_CTL_HTTP_REQUEST_H_
#define COMFREYVANE_CTL_HTTP_REQUEST_H_

#include <string>

namespace comfreyvane::ctl {

/// A request to the operators' endpoint of a host.
struct HttpRequest {
  std::string target;  ///< Path and query.
  std::string authorization;
  std::string body;      ///< Sent by POST; GET if empty.
  bool changes = false;  ///< Whether it may change something.

  friend bool operator==(const HttpRequest&, const HttpRequest&) = default;
};

}  // namespace comfreyvane::ctl

#endif  // COMFREYVANE_CTL_HTTP_REQUEST_H_
