#include "comfreyvane/peer/replay_guard.h"

namespace comfreyvane {

ReplayGuard::ReplayGuard(HostId self, Incarnation incarnation)
    : self_(self), incarnation_(incarnation) {}

ReplayVerdict ReplayGuard::Take(const PeerStamp& stamp) {
  if (stamp.to != self_)
    return ReplayVerdict::kForeign;
  if (stamp.to_incarnation != incarnation_)
    return ReplayVerdict::kWrongTarget;
  Seen& seen = seen_[stamp.from];
  if (stamp.from_incarnation < seen.incarnation)
    return ReplayVerdict::kReplayed;
  if (stamp.from_incarnation == seen.incarnation &&
      stamp.sequence <= seen.sequence)
    return ReplayVerdict::kReplayed;
  seen = {stamp.from_incarnation, stamp.sequence};
  return ReplayVerdict::kTake;
}

}  // namespace comfreyvane
