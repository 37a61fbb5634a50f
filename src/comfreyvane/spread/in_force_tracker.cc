#include "comfreyvane/spread/in_force_tracker.h"

#include <algorithm>

namespace comfreyvane {

void InForceTracker::OnAccepted(Revision revision, TimePoint now) {
  accepted_.try_emplace(revision, now);
  // Older revisions tell nothing once the newest one's lease has lapsed.
  while (accepted_.size() > 1 &&
         now - std::next(accepted_.begin())->second >= lease_)
    accepted_.erase(accepted_.begin());
}

void InForceTracker::OnConfirmed(HostId host,
                                 Incarnation incarnation,
                                 Revision revision) {
  Confirmed& known = hosts_[host];
  if (incarnation < known.incarnation)
    return;
  if (incarnation == known.incarnation && revision < known.revision)
    return;
  known = {incarnation, revision};
}

void InForceTracker::OnDomain(const DomainConfirmation& confirmation) {
  DomainConfirmation& known = domains_[confirmation.domain];
  if (known.lowest <= confirmation.lowest &&
      known.newest <= confirmation.newest)
    known = confirmation;
}

Revision InForceTracker::ConfirmedBy(const Member& member) const {
  Revision revision;
  const auto host = hosts_.find(member.id);
  if (host != hosts_.end() && host->second.incarnation == member.incarnation)
    revision = host->second.revision;
  const auto domain = domains_.find(member.domain());
  if (domain == domains_.end())
    return revision;
  const auto& laggards = domain->second.laggards;
  const bool named = laggards.size() < kLaggardsNamed &&
                     std::ranges::find(laggards, member.id) == laggards.end();
  const DomainConfirmation& told = domain->second;
  return std::max(revision, named ? told.newest : told.lowest);
}

Revision InForceTracker::LapsedBelow(TimePoint now) const {
  Revision lapsed;
  for (const auto& [revision, since] : accepted_) {
    if (now - since >= lease_)
      lapsed = std::max(lapsed, revision);
  }
  return lapsed;
}

InForceStatus InForceTracker::Status(const MemberView& view,
                                     TimePoint now) const {
  InForceStatus status;
  if (!accepted_.empty())
    status.accepted = accepted_.rbegin()->first;
  status.in_force = status.accepted;
  const Revision lapsed = LapsedBelow(now);
  for (const Member& member : view.members()) {
    if (member.state == MemberState::kDead)
      continue;
    const Revision confirmed = ConfirmedBy(member);
    if (confirmed >= status.accepted)
      continue;
    const bool may_serve = lapsed < status.accepted;
    (may_serve ? status.lagging : status.lapsed).push_back(member.id);
    status.in_force = std::min(status.in_force, std::max(confirmed, lapsed));
  }
  return status;
}

}  // namespace comfreyvane
