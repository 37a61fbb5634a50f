/// @file
/// Request to drain.
#ifndef COMFREYVANE_OPERATE_DRAIN_REQUEST_H_
#define COMFREYVANE_OPERATE_DRAIN_REQUEST_H_

#include <string>

#include "comfreyvane/operate/drain_target.h"

namespace comfreyvane {

/// Body of POST /v1/drain. The named host or backend server gets no new work.
struct DrainRequest {
  DrainTarget target = DrainTarget::kHost;
  std::string name;
  std::string request_id;  ///< The same when repeated after a lost answer.

  friend bool operator==(const DrainRequest&, const DrainRequest&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_OPERATE_DRAIN_REQUEST_H_
