#include "comfreyvane/member/domain_reach.h"

#include <algorithm>

namespace comfreyvane {

void DomainReach::Entry::SetReachable(bool now_reachable, TimePoint now) {
  if (reachable && !now_reachable)
    lost = now;
  if (!reachable && now_reachable)
    returned = now;
  reachable = now_reachable;
}

void DomainReach::Watch(const std::vector<FailureDomainId>& domains,
                        TimePoint now) {
  for (auto& [domain, entry] : domains_) {
    if (std::ranges::find(domains, domain) != domains.end())
      continue;
    entry.watched = false;
    entry.suspected.reset();
  }
  for (const FailureDomainId domain : domains) {
    Entry& entry = domains_[domain];
    if (entry.watched)
      continue;
    entry.watched = true;
    entry.silent_since = now;
  }
}

std::optional<DomainRumour> DomainReach::OnHeard(FailureDomainId domain,
                                                 TimePoint now) {
  Entry& entry = domains_[domain];
  entry.heard = entry.silent_since = now;
  entry.suspected.reset();
  if (entry.reachable)
    return std::nullopt;
  entry.SetReachable(true, now);
  ++entry.version;
  return DomainRumour{domain, entry.version, true};
}

std::optional<DomainRumour> DomainReach::OnRumour(const DomainRumour& rumour,
                                                  TimePoint now) {
  Entry& entry = domains_[rumour.domain];
  // Its teller has been restarted, or has missed some news.
  if (rumour.version < entry.version)
    return DomainRumour{rumour.domain, entry.version, entry.reachable};
  const bool newer =
      rumour.version > entry.version ||
      (rumour.version == entry.version && entry.reachable && !rumour.reachable);
  if (!newer)
    return std::nullopt;
  entry.version = rumour.version;
  entry.SetReachable(rumour.reachable, now);
  if (rumour.reachable) {
    entry.silent_since = now;
    entry.suspected.reset();
    return rumour;
  }
  const bool hears = entry.heard && now - *entry.heard < suspect_after_;
  if (!hears || entry.suspected)
    return rumour;
  entry.SetReachable(true, now);
  ++entry.version;
  return DomainRumour{rumour.domain, entry.version, true};
}

std::vector<DomainRumour> DomainReach::OnTick(
    TimePoint now,
    std::vector<FailureDomainId>& suspected) {
  std::vector<DomainRumour> told;
  for (auto& [domain, entry] : domains_) {
    if (!entry.watched || !entry.reachable)
      continue;
    if (entry.suspected) {
      if (now - *entry.suspected < dead_after_)
        continue;
      entry.SetReachable(false, now);
      told.push_back({domain, entry.version, false});
    } else if (now - entry.silent_since >= suspect_after_) {
      entry.suspected = now;
      suspected.push_back(domain);
    }
  }
  return told;
}

void DomainReach::Restart(TimePoint now) {
  for (auto& [domain, entry] : domains_) {
    if (!entry.watched)
      continue;
    entry.silent_since = now;
    entry.suspected.reset();
  }
}

std::vector<DomainRumour> DomainReach::Unreachable(std::size_t first,
                                                   std::size_t limit) const {
  std::vector<DomainRumour> all;
  for (const auto& [domain, entry] : domains_) {
    if (!entry.reachable)
      all.push_back({domain, entry.version, false});
  }
  if (all.size() <= limit)
    return all;
  const auto middle = static_cast<std::ptrdiff_t>(first % all.size());
  std::rotate(all.begin(), all.begin() + middle, all.end());
  all.resize(limit);
  return all;
}

std::vector<FailureDomainId> DomainReach::WatchedUnreachable() const {
  std::vector<FailureDomainId> domains;
  for (const auto& [domain, entry] : domains_) {
    if (entry.watched && !entry.reachable)
      domains.push_back(domain);
  }
  return domains;
}

Duration DomainReach::EndedOutage(FailureDomainId domain, TimePoint now) const {
  const auto at = domains_.find(domain);
  const bool ended = at != domains_.end() && at->second.returned == now;
  return ended ? now - at->second.lost : Duration(0);
}

bool DomainReach::IsReached(FailureDomainId domain) const {
  const auto at = domains_.find(domain);
  return at == domains_.end() || at->second.reachable;
}

}  // namespace comfreyvane
