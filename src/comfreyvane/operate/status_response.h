/// @file
/// State of the deployment.
#ifndef COMFREYVANE_OPERATE_STATUS_RESPONSE_H_
#define COMFREYVANE_OPERATE_STATUS_RESPONSE_H_

#include <string>
#include <vector>

#include "comfreyvane/base/revision.h"
#include "comfreyvane/operate/host_status.h"
#include "comfreyvane/operate/share_status.h"

namespace comfreyvane {

/// Body of the answer to GET /v1/status, as the answering host sees it.
struct StatusResponse {
  std::string host;                 ///< The answering host.
  Revision accepted;                ///< The newest accepted revision known.
  Revision in_force;                ///< In force on every host heard.
  std::string digest;               ///< Of the accepted configuration.
  bool platform_reachable = false;  ///< From the answering host.
  std::vector<HostStatus> hosts;
  std::vector<ShareStatus> shares;

  friend bool operator==(const StatusResponse&,
                         const StatusResponse&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_OPERATE_STATUS_RESPONSE_H_
