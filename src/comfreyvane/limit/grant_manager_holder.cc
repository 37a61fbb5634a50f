#include <algorithm>
#include <tuple>

#include "comfreyvane/limit/grant_manager.h"

namespace comfreyvane {
namespace {

/// A witness that is not live and has not answered for this long is replaced.
constexpr Duration kWitnessTimeout = std::chrono::seconds(5);

}  // namespace

void GrantManager::ApplyRenewal(const Peer& peer,
                                const GrantRenewal& renewal,
                                TimePoint echo) {
  const auto found = holdings_.find(renewal.grant);
  if (found == holdings_.end() || !found->second.has_witnesses)
    return;
  Holding& holding = found->second;
  const HostIncarnation sender{peer.host.host, peer.last_stamp->incarnation};
  for (Witness& witness : holding.witnesses) {
    if (witness.host != sender || echo < holding.witnesses_chosen_at)
      continue;
    witness.fenced = renewal.fenced;
    if (renewal.fenced)
      continue;
    witness.last_answered_at = echo;
    witness.confirmed = renewal.dynamic;
    holding.renewed_until =
        std::max(holding.renewed_until, echo + renewal.lifetime);
  }
}

/// Prefers a successor in the same region, which stays reachable in a network
/// partition between regions, and a voter in another region, which survives the
/// loss of this region. Hosts in the same failure domain come last.
void GrantManager::ChooseWitnesses(Holding& holding, TimePoint now) {
  std::vector<std::tuple<int, std::uint64_t, HostIncarnation>> candidates;
  for (const auto& [host, peer] : peers_) {
    if (!peer.is_live)
      continue;
    const bool same_domain =
        peer.host.failure_domain == options_.failure_domain;
    const bool same_region = peer.host.region == options_.region;
    const int distance = same_domain ? 2 : same_region ? 0 : 1;
    candidates.emplace_back(distance, random_.Below(1U << 30U),
                            HostIncarnation{host, peer.host.incarnation});
  }
  if (candidates.size() < 2)
    return;
  const auto by_distance = [](const auto& a, const auto& b) {
    return std::tie(std::get<0>(a), std::get<1>(a)) <
           std::tie(std::get<0>(b), std::get<1>(b));
  };
  std::sort(candidates.begin(), candidates.end(), by_distance);
  const auto is_other_region = [](const auto& entry) {
    return std::get<0>(entry) == 1;
  };
  const auto remote =
      std::find_if(candidates.begin() + 1, candidates.end(), is_other_region);
  const auto voter =
      remote == candidates.end() ? candidates.begin() + 1 : remote;
  holding.witnesses[0] = {std::get<2>(candidates.front()), now};
  holding.witnesses[1] = {std::get<2>(*voter), now};
  holding.has_witnesses = true;
  holding.witnesses_chosen_at = now;
  holding.renewed_until = now + options_.terms.renewal_lifetime;
}

bool GrantManager::HasLostWitness(const Holding& holding, TimePoint now) {
  return std::any_of(
      holding.witnesses.begin(), holding.witnesses.end(),
      [this, now](const Witness& witness) {
        return witness.fenced ||
               (FindLivePeer(witness.host) == nullptr &&
                now - witness.last_answered_at > kWitnessTimeout);
      });
}

/// Replaces the witnesses of a grant in two steps. Once one witness has
/// recorded zero units, no vote can take the grant over, so it is safe to
/// choose new witnesses.
void GrantManager::ReplaceWitnesses(TimePoint now) {
  for (auto& [id, holding] : holdings_) {
    if (holding.has_witnesses && !holding.is_closing)
      holding.is_closing = HasLostWitness(holding, now);
    if (holding.has_witnesses && holding.is_closing) {
      const auto has_recorded_zero = [](const Witness& witness) {
        return witness.confirmed == 0 && !witness.fenced;
      };
      if (std::any_of(holding.witnesses.begin(), holding.witnesses.end(),
                      has_recorded_zero)) {
        holding.has_witnesses = false;
        holding.is_closing = false;
      }
    }
    if (!holding.has_witnesses && !holding.is_merging &&
        now >= holding.usable_from)
      ChooseWitnesses(holding, now);
  }
}

void GrantManager::RequestRenewals(TimePoint now) {
  for (auto& [id, holding] : holdings_) {
    if (!holding.has_witnesses)
      continue;
    const RenewalRequest request{
        id, holding.witnesses[0].host, holding.witnesses[1].host,
        holding.is_closing ? 0 : holding.dynamic, holding.expiry - now};
    for (const Witness& witness : holding.witnesses) {
      if (Peer* const peer = FindLivePeer(witness.host))
        peer->outbox.renewal_requests.push_back(request);
    }
  }
}

void GrantManager::QueueReleases(TimePoint now) {
  const TimePoint loans_expired =
      LatestExpiry(options_.terms, *stopped_at_, options_.terms.loan_lifetime);
  for (auto& [id, holding] : holdings_) {
    if (!holding.has_witnesses)
      ChooseWitnesses(holding, now);
    for (std::size_t i = 0; i < holding.witnesses.size(); ++i) {
      const Witness& witness = holding.witnesses[i];
      if (holding.has_witnesses && !holding.released_to && !witness.fenced &&
          FindLivePeer(witness.host) != nullptr)
        holding.released_to = i;
    }
    if (!holding.released_to)
      continue;
    const HostIncarnation& receiver =
        holding.witnesses[*holding.released_to].host;
    if (Peer* const peer = FindLivePeer(receiver))
      peer->outbox.releases.push_back(
          {id, holding.base, holding.dynamic, holding.expiry - now,
           std::max(
               {loans_expired - now, holding.usable_from - now, Duration{0}})});
  }
}

}  // namespace comfreyvane
