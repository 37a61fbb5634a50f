/// @file
/// A caller's question where to connect.
#ifndef COMFREYVANE_GATEWAY_LOOK_UP_QUERY_H_
#define COMFREYVANE_GATEWAY_LOOK_UP_QUERY_H_

#include <string>

namespace comfreyvane {

/// A caller's query for hosts to send its requests to.
struct LookUpQuery {
  std::string host_name;       ///< Host name that the caller resolves.
  std::string region;          ///< Of the caller.
  std::string failure_domain;  ///< Of the caller.

  friend bool operator==(const LookUpQuery&, const LookUpQuery&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_GATEWAY_LOOK_UP_QUERY_H_
