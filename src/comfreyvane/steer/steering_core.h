/// @file
/// Decisions on look-ups.
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

/// Answers look-ups: a site by shares, stickiness and the capacity held, and
/// entry hosts near it.
class SteeringCore {
 public:
  explicit SteeringCore(const SteeringSettings& settings);

  /// Takes over an accepted configuration. An older or equal revision changes
  /// nothing. New services start with their declared shares, known ones shift.
  /// @param progress of services whose shift peers have begun.
  void Configure(Revision revision,
                 const Configuration& configuration,
                 const std::vector<ShiftProgress>& progress,
                 TimePoint now);

  /// Takes over a look-up table that was built elsewhere. One of an older
  /// revision changes nothing.
  void SetTable(std::shared_ptr<const LookupTable> table);

  /// Takes over the present view of hosts.
  void SetHosts(std::vector<HostView> hosts);

  /// Sets what the clients behind one answer of a service ask for.
  void SetDemand(ServiceId service, const ServiceDemand& demand);

  /// Notes a measurement of a service at a site; a site that is down gets
  /// nothing more, and ramps up once it is up again.
  void Observe(ServiceId service,
               const SiteMeasurement& measurement,
               TimePoint now);

  /// Notes how far the other hosts are with the shift of a service.
  void ObserveFleet(ServiceId service,
                    const FleetProgress& fleet,
                    TimePoint now);

  /// Takes over a peer's plan of a shift where the two differ; see
  /// ShiftCore::Adopt.
  void Adopt(const ShiftProgress& progress, TimePoint now);

  /// Takes over a grant of capacity.
  void Grant(const HeadroomGrant& grant) { ledger_.Grant(grant); }

  /// Takes a region or failure domain as down or up.
  void MarkResourceDown(ResourceId resource) { ledger_.MarkDown(resource); }
  void MarkResourceUp(ResourceId resource, TimePoint now) {
    ledger_.MarkUp(resource, now);
  }

  /// Takes a resource as cold: its capacity ramps up.
  void StartRamp(ResourceId resource, TimePoint now) {
    ledger_.StartRamp(resource, now);
  }

  /// Advances all shifts. Wanted about once a second.
  [[nodiscard]] std::vector<ShiftAction> Tick(TimePoint now);

  /// Answers a look-up and accounts for the answer.
  [[nodiscard]] SteeringDecision Steer(const LookupRequest& request,
                                       TimePoint now);

  /// Counts requests that arrived from a client, for its part of the traffic.
  void RecordArrival(const ClientAddress& client,
                     ServiceId service,
                     std::uint32_t requests,
                     TimePoint now);

  /// @return what Steer would decide now, without any effect.
  [[nodiscard]] SteeringDecision Decide(const LookupRequest& request,
                                        TimePoint now) const;

  /// @return the shift of a service, or null for an unknown service.
  [[nodiscard]] const ShiftCore* Shift(ServiceId service) const;

  [[nodiscard]] const CapacityLedger& ledger() const { return ledger_; }
  [[nodiscard]] Revision revision() const { return revision_; }

 private:
  struct ServiceState {
    ShiftCore shift;
    ServiceDemand demand;
  };

  /// A site that may be answered, and what its clients would use.
  struct Candidate {
    const Topology::Location* location = nullptr;
    SteeringPath path;
  };

  [[nodiscard]] std::optional<RegionId> ClientRegion(
      const SteeringExplanation& why) const;
  [[nodiscard]] std::optional<Candidate> CandidateFor(
      SiteId site,
      const SteeringExplanation& why) const;
  [[nodiscard]] std::optional<Shortage> FindShortage(
      const ServiceState& service,
      const Candidate& candidate,
      const SteeringExplanation& why,
      TimePoint now) const;
  [[nodiscard]] std::optional<Candidate> ChooseSite(const ServiceState& service,
                                                    SteeringExplanation& why,
                                                    TimePoint now) const;
  [[nodiscard]] std::vector<SiteId> FallbackSites(
      const ServiceState& service,
      const SteeringExplanation& why) const;
  [[nodiscard]] SteeringExplanation MakeExplanation(
      const LookupRequest& request,
      const ServiceState* service) const;
  [[nodiscard]] SteeringDecision MakeAnswer(const Candidate& candidate,
                                            const SteeringExplanation& why,
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
