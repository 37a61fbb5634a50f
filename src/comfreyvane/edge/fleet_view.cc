#include "comfreyvane/edge/fleet_view.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "comfreyvane/base/hash.h"

namespace comfreyvane {
namespace {

/// Time without a heartbeat after which a host counts as not serving callers:
/// three intervals of heartbeats plus the delay between regions. Heartbeats to
/// other regions have longer intervals.
constexpr Duration kRegionHeartbeatTimeout = std::chrono::milliseconds(1800);
constexpr Duration kRemoteHeartbeatTimeout = std::chrono::milliseconds(4800);

/// Time within which a newly listed host has to send its first heartbeat.
constexpr Duration kFirstHeartbeatTimeout = std::chrono::seconds(2);

/// A newly listed host takes its full share of limits only after this time,
/// when the others have read the list as well.
constexpr Duration kShareDelay = std::chrono::seconds(3);

/// Fraction of its share that a newly listed host uses until then.
constexpr double kInitialShareFraction = 0.25;

/// Number of hosts that may send requests to one cold server.
constexpr std::size_t kColdSenders = 3;

constexpr std::size_t kMinAddresses = 2;

/// Time for which a relay that failed is not used.
constexpr Duration kRelayBackoff = std::chrono::seconds(1);

/// Ranks the hosts of a failure domain for the roles of which it has one. All
/// hosts agree on the ranking.
bool RanksBefore(const FleetHost& a, const FleetHost& b) {
  if (a.processor_share != b.processor_share)
    return a.processor_share > b.processor_share;
  return a.id().value() < b.id().value();
}

}  // namespace

FleetView::FleetView(FleetHost self) : self_(std::move(self)) {}

void FleetView::OnListed(const std::vector<FleetHost>& hosts, TimePoint now) {
  // The other hosts have already read the list that is the first for this one.
  const TimePoint listed_at = has_list_ ? now : now - kShareDelay;
  has_list_ = true;
  std::map<HostId, Member> next;
  for (const FleetHost& host : hosts) {
    const auto found = hosts_.find(host.id());
    if (found != hosts_.end()) {
      Member member = found->second;
      member.host = host;
      member.domain = FailureDomainId::Of(host.failure_domain);
      next.emplace(host.id(), std::move(member));
    } else {
      next.emplace(host.id(),
                   Member{.host = host,
                          .domain = FailureDomainId::Of(host.failure_domain),
                          .first_seen = now,
                          .listed_at = listed_at});
    }
  }
  hosts_ = std::move(next);
}

void FleetView::OnHeartbeat(HostId host, bool leaving, TimePoint now) {
  const auto found = hosts_.find(host);
  if (found == hosts_.end())
    return;
  found->second.last_heartbeat = now;
  found->second.leaving = leaving;
}

std::vector<FleetHost> FleetView::Peers() const {
  std::vector<FleetHost> peers;
  for (const auto& [id, member] : hosts_) {
    if (id != self_.id())
      peers.push_back(member.host);
  }
  return peers;
}

std::optional<FleetHost> FleetView::Find(HostId host) const {
  const auto found = hosts_.find(host);
  return found == hosts_.end() ? std::nullopt
                               : std::optional(found->second.host);
}

bool FleetView::IsInOwnDomain(HostId host) const {
  const auto found = hosts_.find(host);
  return found != hosts_.end() &&
         found->second.host.failure_domain == self_.failure_domain;
}

bool FleetView::IsServing(const Member& member, TimePoint now) const {
  if (member.leaving)
    return false;
  if (member.last_heartbeat == TimePoint{})
    return now - member.first_seen < kFirstHeartbeatTimeout;
  return now - member.last_heartbeat < (IsInOwnRegion(member.host)
                                            ? kRegionHeartbeatTimeout
                                            : kRemoteHeartbeatTimeout);
}

std::vector<FleetHost> FleetView::Serving(bool self_leaving,
                                          TimePoint now) const {
  std::vector<FleetHost> serving;
  if (!self_leaving)
    serving.push_back(self_);
  for (const auto& [id, member] : hosts_) {
    if (id != self_.id() && IsServing(member, now))
      serving.push_back(member.host);
  }
  // Callers would treat an answer without hosts as a failure.
  if (serving.empty())
    serving.push_back(self_);
  return serving;
}

std::vector<std::string> FleetView::AddressesFor(
    const std::string& region,
    const std::string& failure_domain,
    bool self_leaving,
    TimePoint now) const {
  const std::vector<FleetHost> serving = Serving(self_leaving, now);
  std::vector<std::string> in_domain;
  std::vector<std::string> in_region;
  std::vector<std::string> all;
  for (const FleetHost& host : serving) {
    all.push_back(host.caller_address);
    if (host.region == region)
      in_region.push_back(host.caller_address);
    if (host.failure_domain == failure_domain)
      in_domain.push_back(host.caller_address);
  }
  std::vector<std::string> addresses = std::move(in_domain);
  if (addresses.size() < kMinAddresses)
    addresses = std::move(in_region);
  if (addresses.size() < kMinAddresses)
    addresses = std::move(all);
  std::sort(addresses.begin(), addresses.end());
  return addresses;
}

template <typename IsAccepted>
const FleetHost& FleetView::FirstInDomain(TimePoint now,
                                          IsAccepted is_accepted) const {
  const FleetHost* first = &self_;
  for (const auto& [id, member] : hosts_) {
    if (id != self_.id() &&
        member.host.failure_domain == self_.failure_domain &&
        IsServing(member, now) && is_accepted(member) &&
        RanksBefore(member.host, *first))
      first = &member.host;
  }
  return *first;
}

std::optional<FleetHost> FleetView::FindRelay(TimePoint now) const {
  const FleetHost& first = FirstInDomain(now, [now](const Member& member) {
    return now >= member.relay_backoff_until;
  });
  return first.id() == self_.id() ? std::nullopt : std::optional(first);
}

std::optional<FleetHost> FleetView::FindAnyRelay(TimePoint now) const {
  struct Domain {
    const FleetHost* first = nullptr;
    TimePoint failed_until{};
  };
  std::map<FailureDomainId, Domain> domains;
  for (const auto& [id, member] : hosts_) {
    if (id == self_.id() || !IsServing(member, now))
      continue;
    Domain& domain = domains[member.domain];
    domain.failed_until =
        std::max(domain.failed_until, member.relay_backoff_until);
    if (now >= member.relay_backoff_until &&
        (domain.first == nullptr || RanksBefore(member.host, *domain.first)))
      domain.first = &member.host;
  }
  const auto rank = [this](const Domain& domain) {
    return std::tuple(
        domain.first == nullptr, domain.failed_until,
        domain.first != nullptr && !IsInOwnDomain(domain.first->id()),
        domain.first != nullptr && !IsInOwnRegion(*domain.first));
  };
  const Domain* best = nullptr;
  for (const auto& [id, domain] : domains) {
    if (domain.first != nullptr && domain.first->id() == last_relay_)
      return *domain.first;
    if (best == nullptr || rank(domain) < rank(*best))
      best = &domain;
  }
  return best == nullptr || best->first == nullptr
             ? std::nullopt
             : std::optional(*best->first);
}

void FleetView::OnRelayFailed(HostId host, TimePoint now) {
  if (host == last_relay_)
    last_relay_ = HostId();
  const auto found = hosts_.find(host);
  if (found != hosts_.end())
    found->second.relay_backoff_until = now + kRelayBackoff;
}

bool FleetView::IsLimitPool(TimePoint now) const {
  return LimitPool(now).id() == self_.id();
}

FleetHost FleetView::LimitPool(TimePoint now) const {
  return FirstInDomain(now, [](const Member&) { return true; });
}

std::vector<FleetHost> FleetView::OtherLimitPools(TimePoint now) const {
  std::map<std::string, const FleetHost*> by_domain;
  for (const auto& [id, member] : hosts_) {
    if (member.host.failure_domain == self_.failure_domain ||
        !IsServing(member, now))
      continue;
    const FleetHost*& first = by_domain[member.host.failure_domain];
    if (first == nullptr || RanksBefore(member.host, *first))
      first = &member.host;
  }
  std::vector<FleetHost> pools;
  pools.reserve(by_domain.size());
  for (const auto& [domain, host] : by_domain)
    pools.push_back(*host);
  return pools;
}

double FleetView::OtherSharesInDomain() const {
  const auto others =
      std::count_if(hosts_.begin(), hosts_.end(), [this](const auto& row) {
        return row.first != self_.id() &&
               row.second.host.failure_domain == self_.failure_domain;
      });
  return static_cast<double>(others) /
         static_cast<double>(std::max<std::size_t>(1, hosts_.size()));
}

double FleetView::Share(TimePoint now) const {
  const auto found = hosts_.find(self_.id());
  if (found == hosts_.end())
    return 0.0;
  const double share = 1.0 / static_cast<double>(hosts_.size());
  return IsSettled(found->second, now) ? share : kInitialShareFraction * share;
}

std::uint32_t FleetView::ConnectionShare(std::uint32_t max) const {
  const std::size_t hosts = std::max<std::size_t>(1, hosts_.size());
  return std::max(1U, static_cast<std::uint32_t>(max / hosts));
}

bool FleetView::IsSettled(const Member& self, TimePoint now) {
  return now - self.listed_at >= kShareDelay;
}

FleetView::ServerRank FleetView::RankFor(BackendServerId server,
                                         FailureDomainId domain,
                                         HostId id,
                                         const Member& member) {
  return {member.domain != domain, HashPair(server.value(), id.value()), id};
}

std::vector<HostId> FleetView::FirstForServer(BackendServerId server,
                                              FailureDomainId domain,
                                              std::size_t count) const {
  std::vector<ServerRank> ranks;
  for (const auto& [id, member] : hosts_) {
    if (!member.leaving)
      ranks.push_back(RankFor(server, domain, id, member));
  }
  const std::size_t first = std::min(count, ranks.size());
  std::partial_sort(ranks.begin(),
                    ranks.begin() + static_cast<std::ptrdiff_t>(first),
                    ranks.end());
  std::vector<HostId> hosts;
  for (std::size_t i = 0; i < first; ++i)
    hosts.push_back(std::get<HostId>(ranks[i]));
  return hosts;
}

double FleetView::ColdShare(BackendServerId server,
                            FailureDomainId domain) const {
  const std::vector<HostId> senders =
      FirstForServer(server, domain, kColdSenders);
  const bool is_sender =
      std::find(senders.begin(), senders.end(), self_.id()) != senders.end();
  return is_sender ? 1.0 / static_cast<double>(senders.size()) : 0.0;
}

LimitRank FleetView::LimitRankFor(BackendServerId server,
                                  FailureDomainId domain,
                                  bool self_leaving,
                                  TimePoint now) const {
  LimitRank result;
  result.hosts = hosts_.size();
  const auto self = hosts_.find(self_.id());
  if (self == hosts_.end() || self_leaving || !IsSettled(self->second, now))
    return result;
  const ServerRank own = RankFor(server, domain, self->first, self->second);
  result.rank = static_cast<std::size_t>(
      std::count_if(hosts_.begin(), hosts_.end(), [&](const auto& row) {
        const Member& member = row.second;
        return !member.leaving &&
               RankFor(server, domain, row.first, member) < own;
      }));
  return result;
}

std::vector<FleetHost> FleetView::LimitReporters(BackendServerId server,
                                                 FailureDomainId domain) const {
  std::vector<FleetHost> reporters;
  for (const HostId id :
       FirstForServer(server, domain, ServerLimit::kReporters)) {
    if (id != self_.id())
      reporters.push_back(hosts_.at(id).host);
  }
  return reporters;
}

}  // namespace comfreyvane
