/// @file
/// Decisions of the traffic shift of one service.
#ifndef COMFREYVANE_STEER_SHIFT_CORE_H_
#define COMFREYVANE_STEER_SHIFT_CORE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "comfreyvane/base/basic_id.h"
#include "comfreyvane/base/revision.h"
#include "comfreyvane/base/time.h"
#include "comfreyvane/steer/answer_ledger.h"
#include "comfreyvane/steer/client_position.h"
#include "comfreyvane/steer/fleet_progress.h"
#include "comfreyvane/steer/position_weights.h"
#include "comfreyvane/steer/share_map.h"
#include "comfreyvane/steer/shift_action.h"
#include "comfreyvane/steer/shift_explanation.h"
#include "comfreyvane/steer/shift_plan.h"
#include "comfreyvane/steer/shift_progress.h"
#include "comfreyvane/steer/shift_settings.h"
#include "comfreyvane/steer/shift_target.h"
#include "comfreyvane/steer/site_measurement.h"

namespace comfreyvane {

/// Moves the clients of one service from the shares in force to those declared.
/// No site gains or loses more than the cap while a client may still use an
/// answer from before that gain: the next step waits until all those have
/// expired, and until measurements of all sites involved were taken after that.
/// A client whose earlier answer is alive may return to its site at once,
/// within the same cap. Hosts stay within one step of each other, so that a
/// client that goes to another host gains or loses no site more than the cap
/// either.
class ShiftCore {
 public:
  /// Starts a service whose declared shares are in force at once, as no client
  /// has an answer yet.
  ShiftCore(ServiceId service,
            const ShiftTarget& target,
            const ShiftSettings& settings);

  /// Starts a service at the progress of peers, so that a replaced host
  /// neither leaps ahead nor goes back.
  /// Takes no step for one answer life, as clients may hold answers of the
  /// host that it replaces.
  /// @param progress whose runs form whole share maps.
  /// @param target of the revision in force.
  ShiftCore(const ShiftProgress& progress,
            const ShiftTarget& target,
            const ShiftSettings& settings,
            TimePoint now);

  /// Declares shares. An older or equal revision changes nothing, and one with
  /// the same shares leaves a shift that is under way as it is. A
  /// rollback is a later revision with the earlier shares.
  void SetTarget(const ShiftTarget& target);

  /// Notes a measurement. One that is older than the last known changes
  /// nothing.
  void Observe(const SiteMeasurement& measurement);

  /// Notes how far the other hosts are. A step waits until they all are as far
  /// as this host, so that a client that goes to another host finds no leap.
  void ObserveFleet(const FleetProgress& fleet, TimePoint now);

  /// Takes over a peer's plan for the same declared shares where the two differ
  /// and the peer's has the greater digest. Hosts that heard of the shares at
  /// different steps agree so on one plan. Counts as a step: nothing happens
  /// while an answer from before the last one may be alive.
  /// @param progress whose runs form whole share maps.
  void Adopt(const ShiftProgress& progress, TimePoint now);

  /// Counts an answer that named the site.
  /// @param expires when the client's cache drops it, at the latest.
  void RecordAnswer(SiteId site, TimePoint expires, TimePoint now);

  /// Counts requests that arrived from a client position.
  void RecordArrival(ClientPosition position,
                     std::uint32_t requests,
                     TimePoint now) {
    weights_.Record(position, requests, now);
  }

  /// Takes a step if one is allowed, else pauses or waits.
  [[nodiscard]] std::vector<ShiftAction> Tick(TimePoint now);

  /// @return the site of a client position.
  [[nodiscard]] SiteId SiteAt(ClientPosition position) const {
    return ledger_.in_force().SiteAt(position);
  }

  /// @return whether the declared shares are in force.
  [[nodiscard]] bool is_complete() const { return remaining() == 0; }

  /// @return parts yet to move.
  [[nodiscard]] std::uint32_t remaining() const {
    return static_cast<std::uint32_t>(plan_.moves().size() - moves_done_);
  }

  /// @return whether the site is yet to gain clients.
  [[nodiscard]] bool IsGaining(SiteId site) const;

  [[nodiscard]] const ShareMap& in_force() const { return ledger_.in_force(); }
  [[nodiscard]] const AnswerLedger& ledger() const { return ledger_; }
  [[nodiscard]] const std::optional<ShiftPaused>& paused() const {
    return paused_;
  }
  [[nodiscard]] Revision revision() const { return target_.revision; }
  [[nodiscard]] ShiftProgress progress() const;

  /// @return what this host adds to the progress of the fleet.
  [[nodiscard]] FleetProgress OwnProgress(TimePoint now) const;

  [[nodiscard]] ShiftExplanation Explain(TimePoint now) const;

 private:
  /// PositionCount by site.
  using PositionCounts = std::map<SiteId, std::int64_t>;

  [[nodiscard]] std::optional<ShiftPaused> FindPauseCause(TimePoint now) const;
  [[nodiscard]] std::optional<ShiftPaused> FindMeasurementFault(
      SiteId site,
      TimePoint now) const;
  [[nodiscard]] std::vector<SiteId> InvolvedSites() const;
  [[nodiscard]] ShiftPaused PauseFor(PauseReason reason,
                                     SiteId site,
                                     TimePoint now) const;
  [[nodiscard]] std::int64_t TotalRate() const;
  [[nodiscard]] std::int64_t HeadroomPositions(SiteId site) const;
  [[nodiscard]] bool IsSettled(TimePoint now) const;
  [[nodiscard]] std::size_t FleetMoveLimit(TimePoint now) const;
  [[nodiscard]] std::size_t AdmitMoves(bool settled, TimePoint now);
  [[nodiscard]] std::vector<ShiftAction> PauseForLargeClient(TimePoint now);
  [[nodiscard]] std::vector<ShiftAction> TakeStep(TimePoint now);

  ServiceId service_;
  ShiftTarget target_;
  ShiftSettings settings_;
  AnswerLedger ledger_;
  PositionWeights weights_;
  ShiftPlan plan_;
  std::size_t moves_done_ = 0;  ///< Moves of the plan in force.
  PositionCounts gained_;       ///< Since it was settled last.
  PositionCounts lost_;         ///< Since it was settled last.
  bool has_new_target_ = false;
  std::uint32_t step_ = 0;
  std::optional<FleetProgress> fleet_;
  std::optional<TimePoint> fleet_in_step_since_;
  TimePoint hold_until_{};
  std::map<SiteId, SiteMeasurement> measurements_;
  std::map<SiteId, TimePoint> last_down_;
  std::optional<ShiftPaused> paused_;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_STEER_SHIFT_CORE_H_
