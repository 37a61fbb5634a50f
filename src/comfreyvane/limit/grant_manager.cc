#include "comfreyvane/limit/grant_manager.h"

#include <algorithm>
#include <cassert>

namespace comfreyvane {
namespace {

constexpr Duration kRecordRetention = std::chrono::hours(3);
constexpr Duration kPeerRetention = std::chrono::minutes(10);

}  // namespace

GrantManager::GrantManager(const Options& options, TimePoint now)
    : options_(options),
      random_(options.seed),
      next_read_(now),
      next_plan_(now) {}

GrantManagerActions GrantManager::OnTick(TimePoint now) {
  EraseExpired(now);
  GrantManagerActions actions;
  if (stopped_at_) {
    QueueReleases(now);
    FlushOutboxes(actions, now);
    return actions;
  }
  ReplaceWitnesses(now);
  RequestRenewals(now);
  RequestVotes(now);
  MarkMerges(now);
  PlanTransfer(now);
  PlanCommit(now);
  if (pending_ && !pending_->in_flight && now >= next_plan_) {
    pending_->in_flight = true;
    actions.commit = pending_->commit;
  }
  if (now >= next_read_) {
    const auto spread =
        static_cast<double>(options_.terms.table_poll_interval.count());
    next_read_ = now + Duration(static_cast<Duration::rep>(
                           spread * (0.5 + random_.Uniform())));
    actions.read_table = true;
  }
  FlushOutboxes(actions, now);
  return actions;
}

GrantManagerActions GrantManager::OnPeerMessage(HostId from,
                                                const GrantMessage& message,
                                                TimePoint now) {
  GrantManagerActions actions;
  if (!ShouldAccept(from, message))
    return actions;
  Peer& peer = peers_.at(from);
  peer.last_stamp = message.stamp;
  peer.last_received_at = now;
  const bool echoed =
      message.echo && message.echo->incarnation == options_.incarnation;
  const TimePoint echo = echoed ? message.echo->sent_at : TimePoint::min();
  peer.outbox.probe_reply = message.probe;
  if (message.has_new_grant)
    next_read_ = now;
  for (const RenewalRequest& request : message.renewal_requests)
    ApplyRenewalRequest(peer, request, echo, now);
  for (const VoteRequest& request : message.vote_requests)
    ApplyVoteRequest(peer, request, now);
  for (const Vote& vote : message.votes)
    ApplyVote(peer, vote, now);
  for (const ReleaseAck& ack : message.release_acks)
    holdings_.erase(ack.grant);
  if (echoed) {
    for (const GrantRenewal& renewal : message.renewals)
      ApplyRenewal(peer, renewal, echo);
    for (const GrantRelease& release : message.releases)
      ApplyRelease(peer, release, echo, now);
  }
  FlushOutboxes(actions, now);
  return actions;
}

void GrantManager::OnPeers(std::span<const PeerHost> peers, TimePoint now) {
  for (auto& [host, peer] : peers_)
    peer.is_live = false;
  for (const PeerHost& listed : peers) {
    assert(listed.host != options_.self);
    const auto [entry, added] = peers_.try_emplace(listed.host);
    entry->second.host = listed;
    entry->second.is_live = true;
    if (added)
      entry->second.last_received_at = now;
  }
}

GrantManagerActions GrantManager::Stop(TimePoint now) {
  if (!stopped_at_)
    stopped_at_ = now;
  GrantManagerActions actions;
  QueueReleases(now);
  FlushOutboxes(actions, now);
  return actions;
}

OwnShare GrantManager::own_share(TimePoint now) const {
  OwnShare own;
  if (stopped_at_)
    return own;
  for (const auto& [id, holding] : holdings_) {
    if (now < holding.usable_from || now >= holding.expiry)
      continue;
    if (holding.base > 0) {
      own.base_until = own.base > 0 ? std::min(own.base_until, holding.expiry)
                                    : holding.expiry;
      own.base += holding.base;
    }
    const TimePoint expiry =
        holding.has_witnesses ? std::min(holding.renewed_until, holding.expiry)
                              : holding.expiry;
    if (holding.dynamic > 0 && now < expiry) {
      own.dynamic_until =
          own.dynamic > 0 ? std::min(own.dynamic_until, expiry) : expiry;
      own.dynamic += holding.dynamic;
    }
  }
  return own;
}

bool GrantManager::released() const {
  return stopped_at_ && holdings_.empty();
}

void GrantManager::EraseExpired(TimePoint now) {
  std::erase_if(holdings_, [now](const auto& entry) {
    return now >= entry.second.expiry;
  });
  std::erase_if(records_, [now](const auto& entry) {
    return now > entry.second.latest_expiry + kRecordRetention;
  });
  std::erase_if(peers_, [now](const auto& entry) {
    return !entry.second.is_live &&
           now > entry.second.last_received_at + kPeerRetention;
  });
}

void GrantManager::FlushOutboxes(GrantManagerActions& actions, TimePoint now) {
  for (auto& [host, peer] : peers_) {
    if (peer.outbox == GrantMessage{})
      continue;
    peer.outbox.stamp = {options_.incarnation, ++sequence_, now};
    peer.outbox.echo = peer.last_stamp;
    actions.messages.push_back({host, std::move(peer.outbox)});
    peer.outbox = {};
  }
}

HostIncarnation GrantManager::self() const {
  return {options_.self, options_.incarnation};
}

GrantManager::Peer* GrantManager::FindLivePeer(const HostIncarnation& host) {
  const auto found = peers_.find(host.host);
  if (found == peers_.end() || !found->second.is_live ||
      found->second.host.incarnation != host.incarnation)
    return nullptr;
  return &found->second;
}

}  // namespace comfreyvane
