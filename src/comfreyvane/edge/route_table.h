/// @file
/// Configuration of the edge, indexed for requests.
#ifndef COMFREYVANE_EDGE_ROUTE_TABLE_H_
#define COMFREYVANE_EDGE_ROUTE_TABLE_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "comfreyvane/base/basic_id.h"
#include "comfreyvane/base/fwd.h"
#include "comfreyvane/edge/caller_limits.h"
#include "comfreyvane/edge/edge_route.h"
#include "comfreyvane/edge/edge_service.h"
#include "comfreyvane/edge/edge_workspace.h"

namespace comfreyvane {

/// One version of the configuration with indexes for the lookups of requests.
/// Immutable.
class RouteTable {
 public:
  RouteTable(std::uint64_t version,
             std::vector<EdgeRoute> routes,
             std::vector<EdgeService> services,
             std::vector<EdgeWorkspace> workspaces,
             CallerLimits limits);
  RouteTable(const RouteTable&) = delete;
  RouteTable& operator=(const RouteTable&) = delete;

  [[nodiscard]] std::uint64_t version() const { return version_; }
  [[nodiscard]] const std::vector<EdgeRoute>& routes() const { return routes_; }
  [[nodiscard]] const std::vector<EdgeService>& services() const {
    return services_;
  }
  [[nodiscard]] const std::vector<EdgeWorkspace>& workspaces() const {
    return workspaces_;
  }
  [[nodiscard]] const CallerLimits& limits() const { return limits_; }

  /// @param host value of the Host field; its port is ignored.
  /// @param path without the query.
  /// @return the route with the longest matching prefix, or null.
  [[nodiscard]] const EdgeRoute* Find(std::string_view host,
                                      std::string_view path) const;

  /// @return the workspace with this key, or null.
  [[nodiscard]] const EdgeWorkspace* WorkspaceOf(std::string_view key) const;

  /// @return the service, or null.
  [[nodiscard]] const EdgeService* FindService(ServiceId service) const;

  /// @return whether requests need keys, except on open routes.
  [[nodiscard]] bool needs_keys() const { return !workspaces_.empty(); }

 private:
  std::uint64_t version_;
  std::vector<EdgeRoute> routes_;
  std::vector<EdgeService> services_;
  std::vector<EdgeWorkspace> workspaces_;
  CallerLimits limits_;
  /// Indexes into routes_ by host name, in order of decreasing prefix length.
  std::unordered_map<std::string, std::vector<std::uint32_t>> by_host_;
  std::unordered_map<std::string, std::uint32_t> workspace_by_key_;
  std::unordered_map<ServiceId, std::uint32_t> service_by_id_;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_EDGE_ROUTE_TABLE_H_
