#include <algorithm>

#include "comfreyvane/limit/grant_manager.h"
#include "comfreyvane/limit/share.h"

namespace comfreyvane {
namespace {

/// From the expiry of the last renewal to the first request for a vote.
constexpr Duration kTakeoverDelay = std::chrono::milliseconds(250);

HostIncarnation SenderOf(const MessageStamp& stamp, HostId host) {
  return {host, stamp.incarnation};
}

}  // namespace

bool GrantManager::ShouldAccept(HostId from,
                                const GrantMessage& message) const {
  const auto found = peers_.find(from);
  if (found == peers_.end())
    return false;
  const std::optional<MessageStamp>& last_stamp = found->second.last_stamp;
  if (!last_stamp || message.stamp.incarnation > last_stamp->incarnation)
    return true;
  return message.stamp.incarnation == last_stamp->incarnation &&
         message.stamp.sequence > last_stamp->sequence;
}

void GrantManager::ApplyRenewalRequest(Peer& peer,
                                       const RenewalRequest& request,
                                       TimePoint echo,
                                       TimePoint now) {
  if (request.successor != self() && request.voter != self())
    return;
  const auto [entry, added] = records_.try_emplace(request.grant);
  WitnessRecord& record = entry->second;
  if (record.fenced) {
    peer.outbox.renewals.push_back(
        {request.grant, record.dynamic, true, Duration{0}});
    return;
  }
  record.holder = SenderOf(*peer.last_stamp, peer.host.host);
  record.successor = request.successor;
  record.voter = request.voter;
  record.dynamic = request.dynamic;
  if (echo != TimePoint::min())
    record.expiry = std::max(
        record.expiry, echo + SafeLifetime(options_.terms, request.remaining));
  const Duration lifetime = options_.terms.renewal_lifetime;
  const TimePoint latest_expiry = LatestExpiry(options_.terms, now, lifetime);
  record.latest_expiry =
      added ? latest_expiry : std::max(record.latest_expiry, latest_expiry);
  peer.outbox.renewals.push_back(
      {request.grant, record.dynamic, false, lifetime});
}

void GrantManager::ApplyVoteRequest(Peer& peer,
                                    const VoteRequest& request,
                                    TimePoint now) {
  const auto [entry, added] = records_.try_emplace(request.grant);
  WitnessRecord& record = entry->second;
  if (added) {
    record.latest_expiry = now;
    record.dynamic = kTotalUnits;
    record.successor = SenderOf(*peer.last_stamp, peer.host.host);
    record.voter = self();
  }
  const bool renewed = !added && !record.fenced && now <= record.latest_expiry;
  if (renewed || record.taken_over || record.voter != self() ||
      record.successor != SenderOf(*peer.last_stamp, peer.host.host))
    return;
  record.fenced = true;
  peer.outbox.votes.push_back({request.grant, record.dynamic});
}

void GrantManager::ApplyVote(const Peer& peer,
                             const Vote& vote,
                             TimePoint now) {
  const auto found = records_.find(vote.grant);
  if (found == records_.end())
    return;
  WitnessRecord& record = found->second;
  if (record.taken_over || record.successor != self() ||
      now <= record.latest_expiry ||
      record.voter != SenderOf(*peer.last_stamp, peer.host.host))
    return;
  record.fenced = true;
  record.taken_over = true;
  const std::int64_t units = std::min(record.dynamic, vote.dynamic);
  if (units <= 0 || now >= record.expiry || stopped_at_)
    return;
  Holding holding;
  holding.dynamic = units;
  holding.expiry = record.expiry;
  holding.renewed_at = now;
  holding.usable_from = now;
  holding.origin = vote.grant;
  holdings_.emplace(NewGrantId(), holding);
}

void GrantManager::ApplyRelease(Peer& peer,
                                const GrantRelease& release,
                                TimePoint echo,
                                TimePoint now) {
  if (stopped_at_)
    return;
  const auto [entry, added] = records_.try_emplace(release.grant);
  WitnessRecord& record = entry->second;
  if (added)
    record.latest_expiry = now;
  peer.outbox.release_acks.push_back({release.grant});
  if (record.taken_over)
    return;
  Holding holding;
  holding.base = release.base;
  holding.dynamic = record.fenced ? 0 : release.dynamic;
  holding.expiry = echo + SafeLifetime(options_.terms, release.remaining);
  holding.renewed_at = now;
  holding.usable_from = LatestExpiry(options_.terms, now, release.hold_off);
  holding.origin = release.grant;
  record.fenced = true;
  record.taken_over = true;
  record.dynamic = 0;
  holdings_.emplace(NewGrantId(), holding);
}

void GrantManager::RequestVotes(TimePoint now) {
  for (auto& [grant, record] : records_) {
    if (record.successor != self() || record.taken_over ||
        record.dynamic <= 0 || now <= record.latest_expiry + kTakeoverDelay ||
        now >= record.expiry)
      continue;
    if (Peer* const voter = FindLivePeer(record.voter))
      voter->outbox.vote_requests.push_back({grant});
  }
}

}  // namespace comfreyvane
