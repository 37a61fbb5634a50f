/// @file
/// State of a request that the gateway processes.
#ifndef COMFREYVANE_GATEWAY_GATEWAY_REQUEST_H_
#define COMFREYVANE_GATEWAY_GATEWAY_REQUEST_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "comfreyvane/base/time.h"
#include "comfreyvane/edge/admission_queue.h"
#include "comfreyvane/edge/configuration_freshness.h"
#include "comfreyvane/edge/pick_request.h"
#include "comfreyvane/edge/route_table.h"
#include "comfreyvane/gateway/carried_mark.h"

namespace comfreyvane {

/// State of a request that the gateway processes.
struct GatewayRequest {
  TimePoint started;
  std::string id;  ///< Request identifier sent by the caller.
  std::string path;
  bool is_head = false;  ///< The method is HEAD.
  /// Time that the caller waits for the answer; maximum if it sent none.
  Duration caller_timeout = Duration::max();
  /// Earlier of the caller's and the route's.
  TimePoint deadline = TimePoint::max();
  std::shared_ptr<const RouteTable> table;
  const EdgeRoute* route = nullptr;
  const EdgeWorkspace* workspace = nullptr;  ///< Null on open routes.
  std::string key;                           ///< Not forwarded.
  Urgency urgency;
  PickRequest pick;
  std::uint64_t fingerprint = 0;  ///< Of workspace, path and body.
  std::string body;
  std::uint32_t attempts = 0;  ///< Except failed connects.
  /// If this host carries the request for another.
  std::optional<CarriedMark> carried{};
  std::string carried_code{};  ///< Authentication code of a carried request.
  std::vector<HostId> tried_carriers{};
  TimePoint received{};  ///< When all of it had been read.
  /// Ends what the request waits for; null if that ends soon in any case.
  std::function<void()> cancel{};
  bool is_waiting = false;   ///< For a backend server.
  bool is_given_up = false;  ///< This host stops before it could end.

  /// @param in_force configuration in force; may be null.
  /// @return whether the request has been checked against the configuration in
  ///     force, and that is recent enough for it.
  [[nodiscard]] bool IsCurrent(const RouteTable* in_force,
                               const ConfigurationFreshness& freshness,
                               TimePoint now) const {
    return table.get() == in_force &&
           (!pick.is_bound() || freshness.MaySendBound(now));
  }

  [[nodiscard]] WorkspaceId workspace_id() const {
    return workspace == nullptr ? WorkspaceId()
                                : WorkspaceId::Of(workspace->name);
  }
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_GATEWAY_GATEWAY_REQUEST_H_
