/// @file
/// Carries out the decisions on configurations and keys.
#ifndef COMFREYVANE_HOST_CONFIGURATION_DRIVER_H_
#define COMFREYVANE_HOST_CONFIGURATION_DRIVER_H_

#include <json/value.h>

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "comfreyvane/host/control_context.h"
#include "comfreyvane/spread/configuration_core.h"

namespace comfreyvane {

/// Runs the configuration core on the control thread.
class ConfigurationDriver {
 public:
  /// Puts a configuration in force in the rest of the process.
  using OnInForce =
      std::function<void(const std::shared_ptr<const ConfigurationIndex>&,
                         TimePoint)>;
  using OnApplied = std::function<void(const ApplyResult&)>;

  ConfigurationDriver(ControlContext& context, OnInForce on_in_force);

  void OnTick(TimePoint now);
  void OnMembers(const MemberViewPtr& view,
                 const PeerGraph& graph,
                 TimePoint now);

  /// This host was out of touch.
  void OnResumed(TimePoint now);

  void OnSpreadMessage(HostId from, const Json::Value& json, TimePoint now);
  void OnFreshnessMessage(HostId from, const Json::Value& json, TimePoint now);
  void OnForwardedApply(HostId from, const Json::Value& json, TimePoint now);
  void OnForwardedResult(const Json::Value& json);

  /// Hands over the part that this host has in the acceptance of changes.
  void Leave();

  /// Applies an operator's change, here or through an acceptor.
  /// @param on_applied called once, in any case.
  void Apply(const OperatorRequest& request,
             OnApplied on_applied,
             TimePoint now);

  [[nodiscard]] InForceStatus Status(TimePoint now) const;

  /// @return the newest document known here, or null.
  [[nodiscard]] ConfigurationDocumentPtr held() const;

  /// @return whether the last call to the table service succeeded.
  [[nodiscard]] bool platform_reachable() const { return platform_reachable_; }

 private:
  struct Waiting {
    OnApplied on_applied;
    TimePoint deadline;
  };

  void Take(const ConfigurationActions& actions, TimePoint now);
  void Read(const ReadRows& read);
  void Commit(const TableTransaction& transaction);
  void PutInForce(const ConfigurationDocument& document, TimePoint now);
  void Answer(const ApplyResult& result);
  void ExpireWaiting(TimePoint now);

  ControlContext& context_;
  OnInForce on_in_force_;
  std::map<std::string, Waiting> waiting_;
  std::map<std::string, HostId> forwarded_;
  bool platform_reachable_ = false;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_HOST_CONFIGURATION_DRIVER_H_
