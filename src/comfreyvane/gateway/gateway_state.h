/// @file
/// Puts what a gateway learns in force.
#ifndef COMFREYVANE_GATEWAY_GATEWAY_STATE_H_
#define COMFREYVANE_GATEWAY_GATEWAY_STATE_H_

#include <functional>
#include <memory>
#include <string>
#include <unordered_set>
#include <vector>

#include "comfreyvane/edge/backend_entry.h"
#include "comfreyvane/edge/fleet_host.h"
#include "comfreyvane/edge/route_table.h"
#include "comfreyvane/gateway/backend_call.h"
#include "comfreyvane/gateway/gateway_context.h"
#include "comfreyvane/gateway/gateway_dispatcher.h"

namespace comfreyvane {

/// Puts what a gateway learns in force: configurations, backend servers,
/// evacuations, hosts. One log line for each change.
class GatewayState {
 public:
  GatewayState(GatewayContext& context,
               GatewayDispatcher& dispatcher,
               BackendCall& calls);

  [[nodiscard]] GatewayContext& context() { return context_; }

  /// Puts a configuration in force unless it is older than the one in force.
  void PutInForce(std::shared_ptr<const RouteTable> table, TimePoint now);

  void UpsertBackend(const BackendEntry& entry, TimePoint now);
  void RemoveBackend(const std::string& name, TimePoint now);

  /// Begins or ends the evacuation of a failure domain.
  void SetEvacuated(const std::string& failure_domain,
                    bool evacuated,
                    TimePoint now);

  void SetHosts(const std::vector<FleetHost>& hosts, TimePoint now);

  /// Sets the secret by which hosts know each other.
  void SetFleetSecret(const std::string& secret);
  [[nodiscard]] const std::string& fleet_secret() const { return secret_; }
  /// @return a new random secret.
  [[nodiscard]] std::string NewSecret() const;

  /// Called with each configuration that comes into force.
  void OnInForce(std::function<void(const RouteTable&)> listener) {
    on_in_force_ = std::move(listener);
  }

  /// Brings what depends on time up to date.
  void OnTick(TimePoint now);

 private:
  GatewayContext& context_;
  GatewayDispatcher& dispatcher_;
  BackendCall& calls_;
  std::unordered_set<FailureDomainId> evacuated_;
  std::string secret_;
  std::function<void(const RouteTable&)> on_in_force_;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_GATEWAY_GATEWAY_STATE_H_
