/// @file
/// When a backend server is expected to answer.
#ifndef COMFREYVANE_EDGE_EXPECTED_ANSWER_H_
#define COMFREYVANE_EDGE_EXPECTED_ANSWER_H_

#include <compare>

#include "comfreyvane/base/time.h"
#include "comfreyvane/edge/server_load.h"

namespace comfreyvane {

/// What a host expects of the answer to a request or a probe when it sends it.
struct ExpectedAnswer {
  Duration work{};    ///< Time in a slot of the server; zero for a probe.
  ServerLoad load{};  ///< Of the server.

  friend auto operator<=>(const ExpectedAnswer&,
                          const ExpectedAnswer&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_EDGE_EXPECTED_ANSWER_H_
