#include <algorithm>
#include <limits>

#include "comfreyvane/route/route_core.h"

namespace comfreyvane {
namespace {

constexpr Duration kPeerRefreshInterval = std::chrono::milliseconds(200);
constexpr std::size_t kMaxPeers = 64;

}  // namespace

void RouteCore::OnServers(const std::vector<RouteServer>& servers,
                          TimePoint now) {
  std::vector<ServerRecord> records;
  records.reserve(servers.size());
  for (const RouteServer& server : servers) {
    ServerRecord* known = Find(server.id);
    if (known == nullptr) {
      records.emplace_back(server, !has_server_list_, mean_latency_, now);
      continue;
    }
    known->Update(server, now);
    records.push_back(*known);
  }
  const std::size_t listed = records.size();
  for (ServerRecord& record : records_) {
    const bool kept = std::any_of(
        records.begin(), records.begin() + static_cast<std::ptrdiff_t>(listed),
        [&](const ServerRecord& other) {
          return other.server().id == record.server().id;
        });
    if (kept || record.own_in_use() == 0)
      continue;
    record.MarkRemoved();
    records.push_back(record);
  }
  records_ = std::move(records);
  has_server_list_ = true;
  IndexRecords();
  RefreshPeers(now);
  Refresh(now);
}

void RouteCore::IndexRecords() {
  index_.clear();
  sites_.clear();
  for (Link& link : links_)
    link.in_use = 0;
  for (std::size_t i = 0; i < records_.size(); ++i) {
    ServerRecord& record = records_[i];
    const RouteServer& server = record.server();
    index_[server.id] = i;
    record.Assign(SiteIndex(server), LinkIndex(server.region));
    if (server.distance == Distance::kOtherRegion)
      links_[record.link_index()].in_use += record.own_in_use();
  }
  UpdateSiteWeights();
}

std::uint32_t RouteCore::SiteIndex(const RouteServer& server) {
  const auto found =
      std::find_if(sites_.begin(), sites_.end(),
                   [&](const Site& site) { return site.id == server.site; });
  if (found != sites_.end())
    return static_cast<std::uint32_t>(found - sites_.begin());
  sites_.push_back({server.site, 1, server.distance});
  return static_cast<std::uint32_t>(sites_.size() - 1);
}

std::uint32_t RouteCore::LinkIndex(RegionId region) {
  const auto found =
      std::find_if(links_.begin(), links_.end(),
                   [&](const Link& link) { return link.region == region; });
  if (found != links_.end())
    return static_cast<std::uint32_t>(found - links_.begin());
  links_.push_back({region, std::numeric_limits<std::uint32_t>::max(), 0});
  return static_cast<std::uint32_t>(links_.size() - 1);
}

void RouteCore::OnSiteWeights(const std::vector<SiteWeight>& weights,
                              TimePoint now) {
  weights_ = weights;
  UpdateSiteWeights();
  Refresh(now);
}

void RouteCore::UpdateSiteWeights() {
  weight_of_distance_.fill(0);
  std::array<std::size_t, kDistanceCount> choices{};
  for (Site& site : sites_) {
    const auto found = std::find_if(
        weights_.begin(), weights_.end(),
        [&](const SiteWeight& weight) { return weight.site == site.id; });
    const bool named = found != weights_.end();
    site.weight = named ? found->weight : (weights_.empty() ? 1 : 0);
    const auto distance = static_cast<std::size_t>(site.distance);
    weight_of_distance_[distance] += site.weight;
    choices[distance] += site.weight > 0 ? 1 : 0;
  }
  samples_sites_ = !weights_.empty() &&
                   std::any_of(choices.begin(), choices.end(),
                               [](std::size_t count) { return count > 1; });
}

void RouteCore::OnLinkQuota(RegionId region,
                            std::uint32_t in_use,
                            TimePoint now) {
  links_[LinkIndex(region)].quota = in_use;
  Refresh(now);
}

void RouteCore::OnPeerUse(const PeerUse& use, TimePoint now) {
  if (use.service != service_)
    return;
  const auto found = peers_.find(use.host);
  if (found == peers_.end()) {
    if (peers_.size() >= kMaxPeers)
      return;
    peers_.emplace(use.host,
                   Peer{use.incarnation, use.sequence, now, use.servers});
  } else {
    Peer& peer = found->second;
    const bool newer =
        use.incarnation > peer.incarnation ||
        (use.incarnation == peer.incarnation && use.sequence > peer.sequence);
    if (!newer)
      return;
    peer = Peer{use.incarnation, use.sequence, now, use.servers};
  }
  next_peer_refresh_ = now;
}

void RouteCore::OnPeerRemoved(HostId host, TimePoint now) {
  peers_.erase(host);
  next_peer_refresh_ = now;
}

void RouteCore::RefreshPeers(TimePoint now) {
  next_peer_refresh_ = now + kPeerRefreshInterval;
  std::vector<std::uint32_t> use(records_.size(), 0);
  std::erase_if(peers_, [&](const auto& entry) {
    return now - entry.second.received_at > limits_.peer_use_ttl;
  });
  for (const auto& [host, peer] : peers_) {
    for (const ServerUse& entry : peer.servers) {
      const auto found = index_.find(entry.server);
      if (found == index_.end())
        continue;
      const std::uint32_t slots = records_[found->second].server().slots;
      std::uint32_t& sum = use[found->second];
      sum += std::min(entry.in_use, slots);
    }
  }
  for (std::size_t i = 0; i < records_.size(); ++i) {
    const std::uint32_t slots = records_[i].server().slots;
    records_[i].SetPeerUse(
        peers_.empty() ? std::nullopt : std::optional(std::min(use[i], slots)));
  }
}

std::uint32_t RouteCore::FreeSlots() const {
  std::uint32_t free_slots = 0;
  for (const ServerRecord& record : records_) {
    if (!IsAllowed(record))
      continue;
    std::uint32_t here = record.FreeSlots();
    if (record.server().distance == Distance::kOtherRegion) {
      const Link& link = links_[record.link_index()];
      here = link.in_use < link.quota ? std::min(here, link.quota - link.in_use)
                                      : 0;
    }
    free_slots += here;
  }
  return free_slots;
}

std::uint32_t RouteCore::InUse() const {
  std::uint32_t in_use = 0;
  for (const ServerRecord& record : records_)
    in_use += record.own_in_use();
  return in_use;
}

std::vector<ServerUse> RouteCore::Use() const {
  std::vector<ServerUse> use;
  for (const ServerRecord& record : records_) {
    if (record.own_in_use() > 0)
      use.push_back({record.server().id, record.own_in_use()});
  }
  return use;
}

std::vector<ServerState> RouteCore::States(TimePoint now) const {
  std::vector<ServerState> states;
  states.reserve(records_.size());
  for (const ServerRecord& record : records_) {
    ServerRecord present = record;
    present.Refresh(limits_, mean_latency_, now);
    states.push_back({
        .server = present.server().id,
        .in_use = present.own_in_use(),
        .in_use_by_others = present.others_in_use(),
        .limit = present.limit(),
        .free_slots = present.FreeSlots(),
        .latency = present.latency(),
        .success_rate = present.success_rate(),
        .ramp = present.ramp(),
        .leaving = present.is_leaving(),
        .reserved = present.server().id == reserved_ && now < reserved_until_,
        .trial = present.is_trial(),
        .ejected = present.ejected(),
        .ejected_until = present.ejected_until(),
    });
  }
  return states;
}

std::uint64_t RouteCore::Choices(ChoiceReason reason) const {
  return choices_[static_cast<std::size_t>(reason)];
}

std::uint64_t RouteCore::Ejections(EjectionReason reason) const {
  return ejections_[static_cast<std::size_t>(reason)];
}

}  // namespace comfreyvane
