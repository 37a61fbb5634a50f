/// @file
/// Carries out the decisions on backend servers.
#ifndef COMFREYVANE_HOST_ROUTE_DRIVER_H_
#define COMFREYVANE_HOST_ROUTE_DRIVER_H_

#include <json/value.h>

#include <memory>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "comfreyvane/config/configuration_index.h"
#include "comfreyvane/host/control_context.h"
#include "comfreyvane/net/http_client.h"
#include "comfreyvane/route/probe_planner.h"
#include "comfreyvane/route/route_server.h"
#include "comfreyvane/route/server_subset.h"

namespace comfreyvane {

/// Keeps the dispatchers' servers up to date, probes them and tells peers what
/// this host has running, on the control thread.
class RouteDriver {
 public:
  RouteDriver(ControlContext& context, TimePoint now);

  void OnTick(TimePoint now);
  void OnMembers(const MemberViewPtr& view, TimePoint now);
  void OnConfiguration(std::shared_ptr<const ConfigurationIndex> configuration,
                       TimePoint now);
  void OnUse(const Json::Value& json, TimePoint now);
  void OnCrash(const Json::Value& json, TimePoint now);
  void OnCleared(const Json::Value& json, TimePoint now);

 private:
  void Configure(TimePoint now);
  [[nodiscard]] std::vector<ServerQuota> Quotas() const;
  [[nodiscard]] std::vector<RouteServer> ServersOf(
      ServiceId service,
      const std::unordered_map<BackendServerId, ServerQuota>& quotas) const;
  [[nodiscard]] Distance DistanceTo(const FailureDomain& domain) const;
  void TellUse();
  void Probe(TimePoint now);
  [[nodiscard]] asio::awaitable<void> ProbeServer(BackendServer server);
  void OnLoad(const BackendServer& server,
              const HttpCallResult& result,
              TimePoint asked_at,
              TimePoint now);

  ControlContext& context_;
  ProbePlanner probes_;
  MemberViewPtr view_;
  std::shared_ptr<const ConfigurationIndex> configuration_;
  std::unordered_map<BackendServerId, std::shared_ptr<HttpClient>> clients_;
  std::unordered_set<ServiceId> idle_;
  std::uint64_t sequence_ = 0;
  TimePoint next_use_;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_HOST_ROUTE_DRIVER_H_
