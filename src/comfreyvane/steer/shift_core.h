/// @file
/// Traffic shift of one service.
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

/// Shifts the clients of one service step by step from the shares in force to
/// the target shares.
///
/// A step moves at most the cap to or from any site. The next step waits until
/// all answers from before this one have expired and all sites involved have
/// been measured after that. Clients that may still use an unexpired answer
/// for their new site may return to it at once, within the same cap.
///
/// Hosts stay within one step of each other, so the cap also holds for clients
/// that switch between hosts.
class ShiftCore {
 public:
  /// Starts a new service. Its target shares take effect at once, as no client
  /// holds an answer yet.
  ShiftCore(ServiceId service,
            const ShiftTarget& target,
            const ShiftSettings& settings);

  /// Resumes a shift at the progress of peers, so that a replacement host
  /// neither skips nor repeats steps. Takes no step for one answer lifetime, as
  /// clients may hold answers from the host that it replaces.
  /// @param progress its runs must form complete share maps.
  /// @param target of the revision in force.
  ShiftCore(const ShiftProgress& progress,
            const ShiftTarget& target,
            const ShiftSettings& settings,
            TimePoint now);

  /// Sets the target shares. Ignores a revision that is not newer than the
  /// current one. A new revision with the same shares does not restart a shift
  /// in progress. To roll back, set the earlier shares under a newer revision.
  void SetTarget(const ShiftTarget& target);

  /// Records a measurement. Ignores one that is not newer than the last one of
  /// that site.
  void Observe(const SiteMeasurement& measurement);

  /// Records the progress of the other hosts. Ignores a report older than the
  /// last one. A step waits until all hosts have reached this host's progress,
  /// so that clients that switch hosts see at most one step.
  void ObserveFleet(const FleetProgress& fleet, TimePoint now);

  /// Adopts a peer's plan for the same target shares if its digest is greater
  /// than that of the own plan. Hosts that received the target at different
  /// steps converge on one plan this way. Counts as a step, so it has no effect
  /// while answers from before the last step may be unexpired.
  /// @param progress its runs must form complete share maps.
  void Adopt(const ShiftProgress& progress, TimePoint now);

  /// Counts an answer that named the site.
  /// @param expires the latest time at which the client still uses it.
  void RecordAnswer(SiteId site, TimePoint expires, TimePoint now);

  /// Counts requests received from a client position.
  void RecordArrival(ClientPosition position,
                     std::uint32_t requests,
                     TimePoint now) {
    weights_.Record(position, requests, now);
  }

  /// Takes a step if permitted; otherwise waits, or pauses the shift.
  /// @return the steps and the changes of state, in order.
  [[nodiscard]] std::vector<ShiftAction> Tick(TimePoint now);

  /// @return the site of a client position.
  [[nodiscard]] SiteId SiteAt(ClientPosition position) const {
    return ledger_.in_force().SiteAt(position);
  }

  /// @return whether the target shares are in force.
  [[nodiscard]] bool is_complete() const { return remaining() == 0; }

  /// @return the number of positions yet to move.
  [[nodiscard]] std::uint32_t remaining() const {
    return static_cast<std::uint32_t>(plan_.moves().size() - moves_done_);
  }

  /// @return whether the rest of the plan moves clients to the site.
  [[nodiscard]] bool IsGaining(SiteId site) const;

  [[nodiscard]] const ShareMap& in_force() const { return ledger_.in_force(); }
  [[nodiscard]] const AnswerLedger& ledger() const { return ledger_; }
  [[nodiscard]] const std::optional<ShiftPaused>& paused() const {
    return paused_;
  }
  [[nodiscard]] Revision revision() const { return target_.revision; }
  [[nodiscard]] ShiftProgress progress() const;

  /// @return this host's contribution to the progress of the fleet.
  [[nodiscard]] FleetProgress OwnProgress(TimePoint now) const;

  [[nodiscard]] ShiftExplanation Explain(TimePoint now) const;

 private:
  /// Number of positions by site.
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
  /// @return whether all hosts have reached this host's progress, and all sites
  ///     involved were measured after the last answers from before that
  ///     expired.
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
  std::size_t moves_done_ = 0;  ///< Moves of the plan that are in force.
  PositionCounts gained_;       ///< Since the fleet last settled.
  PositionCounts lost_;         ///< Since the fleet last settled.
  bool has_new_target_ = false;
  std::uint32_t step_ = 0;
  std::optional<FleetProgress> fleet_;
  /// Since when all hosts have had this plan and at least this progress.
  std::optional<TimePoint> fleet_in_step_since_;
  TimePoint no_step_before_{};
  std::map<SiteId, SiteMeasurement> measurements_;
  std::map<SiteId, TimePoint> last_down_;
  std::optional<ShiftPaused> paused_;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_STEER_SHIFT_CORE_H_
