/// @file
/// Answers look-ups with a site and entry hosts.
#ifndef COMFREYVANE_STEER_STEERING_CORE_H_
#define COMFREYVANE_STEER_STEERING_CORE_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "comfreyvane/base/basic_id.h"
#include "comfreyvane/base/revision.h"
#include "comfreyvane/base/time.h"
#include "comfreyvane/config/fwd.h"
#include "comfreyvane/steer/capacity_ledger.h"
#include "comfreyvane/steer/host_selector.h"
#include "comfreyvane/steer/host_view.h"
#include "comfreyvane/steer/lookup_request.h"
#include "comfreyvane/steer/lookup_table.h"
#include "comfreyvane/steer/service_demand.h"
#include "comfreyvane/steer/shift_core.h"
#include "comfreyvane/steer/steering_answer.h"
#include "comfreyvane/steer/steering_decision.h"
#include "comfreyvane/steer/steering_settings.h"
#include "comfreyvane/steer/topology.h"

namespace comfreyvane {

/// Answers look-ups. Selects a site by the client's position in the share map
/// and by the capacity leased to this host, and entry hosts close to that site.
/// Performs no I/O; not thread safe.
class SteeringCore {
 public:
  explicit SteeringCore(const SteeringSettings& settings);

  /// Applies a configuration. Ignores a revision that is not newer than the
  /// current one. A new service starts with its declared shares; an existing
  /// one shifts towards them.
  /// @param progress shifts that peers have already started.
  void Configure(Revision revision,
                 const Configuration& configuration,
                 const std::vector<ShiftProgress>& progress,
                 TimePoint now);

  /// Replaces the look-up table. Ignores a table of an older revision.
  /// @param table not null.
  void SetTable(std::shared_ptr<const LookupTable> table);

  /// Replaces the list of entry hosts, including those that are leaving.
  void SetHosts(std::vector<HostView> hosts);

  /// Sets the load that one answer for the service is expected to cause.
  void SetDemand(ServiceId service, const ServiceDemand& demand);

  /// Records a measurement of a service at a site. A site that is down receives
  /// no new clients; its capacity ramps up after it recovers.
  void Observe(ServiceId service,
               const SiteMeasurement& measurement,
               TimePoint now);

  /// Records the progress of the other hosts in the shift of a service.
  void ObserveFleet(ServiceId service,
                    const FleetProgress& fleet,
                    TimePoint now);

  /// Adopts a peer's shift plan if the plans differ; see ShiftCore::Adopt.
  void Adopt(const ShiftProgress& progress, TimePoint now);

  /// Adds, renews or resizes a lease on capacity.
  void Grant(const HeadroomGrant& grant) { ledger_.Grant(grant); }

  /// Marks a region or failure domain as down or up.
  void MarkResourceDown(ResourceId resource) { ledger_.MarkDown(resource); }
  void MarkResourceUp(ResourceId resource, TimePoint now) {
    ledger_.MarkUp(resource, now);
  }

  /// Treats a resource as cold and ramps its capacity up.
  void StartRamp(ResourceId resource, TimePoint now) {
    ledger_.StartRamp(resource, now);
  }

  /// Advances all shifts. Call about once a second.
  [[nodiscard]] std::vector<ShiftAction> Tick(TimePoint now);

  /// Answers a look-up and reserves capacity for the answer.
  [[nodiscard]] SteeringDecision Steer(const LookupRequest& request,
                                       TimePoint now);

  /// Counts requests received from a client, to weight its position in a shift.
  void RecordArrival(const ClientAddress& client,
                     ServiceId service,
                     std::uint32_t requests,
                     TimePoint now);

  /// @return the decision that Steer would make now. Changes no state.
  [[nodiscard]] SteeringDecision Decide(const LookupRequest& request,
                                        TimePoint now) const;

  /// @return the shift of a service, or null if the service is unknown.
  [[nodiscard]] const ShiftCore* Shift(ServiceId service) const;

  [[nodiscard]] const CapacityLedger& ledger() const { return ledger_; }
  [[nodiscard]] Revision revision() const { return revision_; }

 private:
  struct ServiceState {
    ShiftCore shift;
    ServiceDemand demand;
  };

  /// A site that an answer may name, and the resources that its clients use.
  struct Candidate {
    const Topology::Location* location = nullptr;
    SteeringPath path;
  };

  [[nodiscard]] std::optional<RegionId> ClientRegion(
      const SteeringExplanation& explanation) const;
  [[nodiscard]] std::optional<Candidate> CandidateFor(
      SiteId site,
      const SteeringExplanation& explanation) const;
  [[nodiscard]] std::optional<Shortage> FindShortage(
      const ServiceState& service,
      const Candidate& candidate,
      const SteeringExplanation& explanation,
      TimePoint now) const;
  [[nodiscard]] std::optional<Candidate> ChooseSite(
      const ServiceState& service,
      SteeringExplanation& explanation,
      TimePoint now) const;
  [[nodiscard]] std::vector<SiteId> FallbackSites(
      const ServiceState& service,
      const SteeringExplanation& explanation) const;
  [[nodiscard]] SteeringExplanation MakeExplanation(
      const LookupRequest& request,
      const ServiceState* service) const;
  [[nodiscard]] SteeringDecision MakeAnswer(
      const Candidate& candidate,
      const SteeringExplanation& explanation,
      TimePoint now) const;
  [[nodiscard]] Duration MinAnswerLifetime() const {
    return settings_.min_ttl + settings_.cache_excess;
  }
  [[nodiscard]] TimePoint ExpiryOf(Duration ttl, TimePoint now) const {
    return now + ttl + settings_.cache_excess;
  }

  SteeringSettings settings_;
  Revision revision_;
  Topology topology_;
  std::shared_ptr<const LookupTable> table_;
  std::vector<HostView> hosts_;
  HostSelector selector_;
  CapacityLedger ledger_;
  std::map<ServiceId, ServiceState> services_;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_STEER_STEERING_CORE_H_
