/// @file
/// State of one request on its way through the gateway.
#ifndef COMFREYVANE_GATEWAY_GATEWAY_REQUEST_H_
#define COMFREYVANE_GATEWAY_GATEWAY_REQUEST_H_

#include <cstdint>
#include <memory>
#include <string>

#include "comfreyvane/base/time.h"
#include "comfreyvane/edge/admission_queue.h"
#include "comfreyvane/edge/pick_request.h"
#include "comfreyvane/edge/route_table.h"

namespace comfreyvane {

/// State of one request on its way through the gateway.
struct GatewayRequest {
  TimePoint started;
  std::string id;  ///< As the caller sent it.
  std::string path;
  bool to_head = false;  ///< The method is HEAD.
  /// Time that the caller waits; none if it did not say.
  Duration patience = Duration::max();
  TimePoint deadline = TimePoint::max();  ///< Of caller and route.
  std::shared_ptr<const RouteTable> table;
  const EdgeRoute* route = nullptr;
  const EdgeWorkspace* workspace = nullptr;  ///< Null on open routes.
  std::string key;                           ///< Never passed on.
  Urgency urgency;
  PickRequest pick;
  std::uint64_t fingerprint = 0;  ///< Of workspace, path and body.
  std::string body;
  std::uint32_t attempts = 0;  ///< That were sent.

  [[nodiscard]] WorkspaceId workspace_id() const {
    return workspace == nullptr ? WorkspaceId()
                                : WorkspaceId::Of(workspace->name);
  }
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_GATEWAY_GATEWAY_REQUEST_H_
