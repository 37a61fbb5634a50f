/// @file
/// Feeds the steering core.
#ifndef COMFREYVANE_HOST_STEERING_DRIVER_H_
#define COMFREYVANE_HOST_STEERING_DRIVER_H_

#include <json/value.h>

#include <map>
#include <memory>
#include <optional>

#include "comfreyvane/host/control_context.h"
#include "comfreyvane/limit/own_share.h"
#include "comfreyvane/steer/fleet_progress.h"
#include "comfreyvane/steer/shift_progress.h"

namespace comfreyvane {

/// Gives the steering core its hosts, measurements and capacity, on the control
/// thread.
class SteeringDriver {
 public:
  SteeringDriver(ControlContext& context, TimePoint now);

  void OnTick(const OwnShare& own, TimePoint now);
  void OnMembers(MemberViewPtr view);

  /// Takes in how far a peer is with the shift of a service.
  void OnPeer(HostId from, const Json::Value& json, TimePoint now);
  void OnConfiguration(std::shared_ptr<const ConfigurationIndex> configuration,
                       TimePoint now);

 private:
  void GrantCapacity(const OwnShare& own);
  void Measure(TimePoint now);
  void MeasureService(const Service& service, TimePoint now);
  void StartIfReady(TimePoint now);
  void TellProgress(TimePoint now);
  void ObserveFleet(TimePoint now);
  [[nodiscard]] std::optional<FleetProgress> FleetOf(ServiceId service) const;

  ControlContext& context_;
  std::shared_ptr<const ConfigurationIndex> configuration_;
  MemberViewPtr view_;
  std::map<ServiceId, std::map<HostId, FleetProgress>> progress_;
  std::map<ServiceId, ShiftProgress> shifts_;
  bool started_ = false;
  TimePoint start_by_;
  TimePoint next_grant_;
  TimePoint next_measurement_;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_HOST_STEERING_DRIVER_H_
