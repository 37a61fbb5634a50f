// What SpreadCore sends: pushes, notices, requests and reads of rows.
#include "comfreyvane/spread/spread_core.h"

#include <algorithm>
#include <utility>

namespace comfreyvane {

namespace {

constexpr std::size_t kDeltasPerMessage = 32;

constexpr std::size_t kRowsPerRead = 16;

// Requests to peers without effect before the store is read.
constexpr std::uint64_t kPeerRequests = 3;

}  // namespace

void SpreadCore::PushToPeers(TimePoint now, SpreadActions& actions) {
  for (const HostId host : targets_) {
    const Peer* peer = PeerOf(host);
    const bool known = peer != nullptr && peer->known;
    if (!known || peer->held >= held_revision())
      continue;
    if (peer->pushed && now - *peer->pushed < settings_.repeat_period)
      continue;
    Push(host, now, actions);
  }
}

void SpreadCore::Push(HostId to, TimePoint now, SpreadActions& actions) {
  if (held_ == nullptr)
    return;
  Peer& peer = peers_[to];
  peer.pushed = now;
  if (peer.held >= held_->revision)
    return;
  const auto first =
      std::ranges::find(history_, peer.held, &ConfigurationDelta::from);
  if (first == history_.end()) {
    actions.emplace_back(SendSpreadMessage{to, FullDocument{*held_}});
    return;
  }
  DeltaChain chain;
  for (auto delta = first; delta != history_.end(); ++delta) {
    if (chain.deltas.size() == kDeltasPerMessage)
      break;
    chain.deltas.push_back(*delta);
  }
  actions.emplace_back(SendSpreadMessage{to, std::move(chain)});
}

void SpreadCore::Notify(HostId to, SpreadActions& actions) {
  actions.emplace_back(SendSpreadMessage{to, OwnNotice()});
}

RevisionNotice SpreadCore::OwnNotice() const {
  RevisionNotice notice;
  notice.incarnation = incarnation_;
  notice.held = held_revision();
  notice.digest = held_ == nullptr ? 0 : held_->digest();
  notice.in_force = in_force_ == nullptr ? Revision() : in_force_->revision;
  notice.proved = phase_ == SpreadPhase::kReady;
  notice.confirmations = board_.News();
  return notice;
}

void SpreadCore::NotifyPeers(SpreadActions& actions) {
  for (const HostId host : targets_)
    Notify(host, actions);
}

void SpreadCore::NotifyCounters(SpreadActions& actions) {
  for (const HostId host : counters_) {
    if (host != self_)
      Notify(host, actions);
  }
}

// Asks the peers that hold more, and the store when they do not answer.
void SpreadCore::CatchUp(TimePoint now, SpreadActions& actions) {
  if (held_revision() >= newest_ || now < next_request_)
    return;
  next_request_ = now + settings_.repeat_period;
  ++requests_;
  std::vector<HostId> holders;
  for (const auto& [host, peer] : peers_) {
    if (peer.held > held_revision())
      holders.push_back(host);
  }
  if (!holders.empty()) {
    const HostId to = holders[requests_ % holders.size()];
    const std::uint64_t digest = held_ == nullptr ? 0 : held_->digest();
    actions.emplace_back(
        SendSpreadMessage{to, RevisionRequest{held_revision(), digest}});
  }
  if (holders.empty() || requests_ % kPeerRequests == 0)
    ReadMissing(actions);
}

void SpreadCore::ReadMissing(SpreadActions& actions) {
  std::vector<std::string> keys;
  const bool old = newest_.value() - held_revision().value() > kFullInterval;
  Revision next = held_revision().next();
  if (old || held_ == nullptr) {
    keys.push_back(FullKey(FullRevision(newest_)));
    next = std::max(next, FullRevision(newest_).next());
  }
  while (next <= newest_ && keys.size() < kRowsPerRead) {
    keys.push_back(DeltaKey(next));
    next = next.next();
  }
  Read(std::move(keys), actions);
}

void SpreadCore::Read(std::vector<std::string> keys, SpreadActions& actions) {
  actions.emplace_back(ReadRows{next_number_++, std::move(keys)});
}

// A relay sums up what the live hosts of its domain have in force.
void SpreadCore::Confirm(SpreadActions& actions) {
  const Member* own = view_->Find(self_);
  const bool counts = std::ranges::find(counters_, self_) != counters_.end();
  if (own == nullptr || in_force_ == nullptr || !counts)
    return;
  DomainConfirmation sum{
      own->domain(), in_force_->revision, in_force_->revision, {}};
  for (const HostId host : siblings_) {
    const Peer* peer = PeerOf(host);
    if (!view_->IsLive(host) || (peer != nullptr && !peer->proved))
      continue;
    const Revision has = peer == nullptr ? Revision() : peer->in_force;
    if (has >= sum.newest)
      continue;
    sum.lowest = std::min(sum.lowest, has);
    if (sum.laggards.size() < kLaggardsNamed)
      sum.laggards.push_back(host);
  }
  if (board_.Take(sum))
    actions.emplace_back(DomainConfirmed{std::move(sum)});
}

}  // namespace comfreyvane
