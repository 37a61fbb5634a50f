/// @file
/// Separates accepted from in force.
#ifndef COMFREYVANE_SPREAD_IN_FORCE_TRACKER_H_
#define COMFREYVANE_SPREAD_IN_FORCE_TRACKER_H_

#include <map>
#include <vector>

#include "comfreyvane/base/basic_id.h"
#include "comfreyvane/base/incarnation.h"
#include "comfreyvane/base/revision.h"
#include "comfreyvane/base/time.h"
#include "comfreyvane/member/member_view.h"
#include "comfreyvane/spread/in_force_status.h"
#include "comfreyvane/spread/spread_message.h"

namespace comfreyvane {

/// Separates accepted from in force and names the hosts that lag: a revision is
/// in force when each live host has confirmed it, or can no longer hold a proof
/// that an older one is the newest. Without I/O; not thread safe.
class InForceTracker {
 public:
  /// @param lease how long a host may serve keyed work on an older revision
  /// after a newer one was accepted, clock drift included.
  explicit InForceTracker(Duration lease) : lease_(lease) {}

  /// Takes a revision that is known to be accepted.
  void OnAccepted(Revision revision, TimePoint now);

  /// Takes the revision that is in force on a host.
  void OnConfirmed(HostId host, Incarnation incarnation, Revision revision);

  /// Takes what a relay says of its failure domain.
  void OnDomain(const DomainConfirmation& confirmation);

  /// @param view members that have to confirm.
  /// @return the present status.
  [[nodiscard]] InForceStatus Status(const MemberView& view,
                                     TimePoint now) const;

 private:
  [[nodiscard]] Revision ConfirmedBy(const Member& member) const;
  [[nodiscard]] Revision LapsedBelow(TimePoint now) const;

  struct Confirmed {
    Incarnation incarnation;
    Revision revision;
  };

  Duration lease_;
  std::map<Revision, TimePoint> accepted_;
  std::map<HostId, Confirmed> hosts_;
  std::map<FailureDomainId, DomainConfirmation> domains_;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_SPREAD_IN_FORCE_TRACKER_H_
