/// @file
/// Puts what a gateway learns in force.
#ifndef COMFREYVANE_GATEWAY_GATEWAY_STATE_H_
#define COMFREYVANE_GATEWAY_GATEWAY_STATE_H_

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "comfreyvane/edge/backend_entry.h"
#include "comfreyvane/edge/fleet_host.h"
#include "comfreyvane/edge/route_table.h"
#include "comfreyvane/gateway/backend_client.h"
#include "comfreyvane/gateway/gateway_context.h"
#include "comfreyvane/gateway/gateway_dispatcher.h"

namespace comfreyvane {

/// Applies changes of configuration, backend servers, evacuations and hosts to
/// the gateway. Logs one line per change.
class GatewayState {
 public:
  GatewayState(GatewayContext& context,
               GatewayDispatcher& dispatcher,
               BackendClient& calls);

  [[nodiscard]] GatewayContext& context() { return context_; }

  /// Applies a configuration if its version is newer than the current one.
  void ApplyConfiguration(std::shared_ptr<const RouteTable> table,
                          TimePoint now);

  void UpsertBackend(const BackendEntry& entry, TimePoint now);

  /// Records that a backend server has said that it leaves.
  /// @param source "answer", or the host that has reported it.
  void OnServerLeaving(const LeavingReport& report,
                       std::string_view source,
                       TimePoint now);

  void RemoveBackend(const std::string& name, TimePoint now);

  /// Starts or ends the evacuation of a failure domain.
  void SetEvacuated(const std::string& failure_domain,
                    bool evacuated,
                    TimePoint now);

  void SetHosts(const std::vector<FleetHost>& hosts, TimePoint now);

  /// Sets the secret with which hosts authenticate each other.
  void SetFleetSecret(const std::string& secret);
  [[nodiscard]] const std::string& fleet_secret() const {
    return context_.fleet_secret;
  }
  /// @return a random secret in hexadecimal digits.
  /// @throws std::bad_alloc if the random generator fails.
  [[nodiscard]] std::string GenerateSecret() const;

  /// Sets the function that is called with each configuration applied.
  void SetConfigurationListener(
      std::function<void(const RouteTable&)> listener) {
    configuration_listener_ = std::move(listener);
  }

  /// Updates this host's part in limits and cold servers, and closes idle
  /// connections.
  /// Must be called periodically.
  void OnTick(TimePoint now);

 private:
  /// @return this host's part of the connections to a server, by service.
  [[nodiscard]] std::unordered_map<ServiceId, std::uint32_t> ConnectionShares()
      const;
  /// Logs the end of a server's request limit, if it has one.
  void LogLimitEnd(BackendServerId server, const char* cause) const;

  GatewayContext& context_;
  GatewayDispatcher& dispatcher_;
  BackendClient& backend_client_;
  std::unordered_set<FailureDomainId> evacuated_;
  std::function<void(const RouteTable&)> configuration_listener_;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_GATEWAY_GATEWAY_STATE_H_
