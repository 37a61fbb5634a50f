#include "comfreyvane/steer/answer_ledger.h"

#include <algorithm>
#include <utility>

#include "comfreyvane/config/site_share.h"

namespace comfreyvane {
namespace {

/// @return the index of each site of the map in `sites`, which is sorted.
std::vector<std::uint32_t> SiteIndicesIn(const ShareMap& map,
                                         const std::vector<SiteId>& sites) {
  std::vector<std::uint32_t> site_indices;
  site_indices.reserve(map.sites().size());
  for (const SiteId site : map.sites())
    site_indices.push_back(static_cast<std::uint32_t>(
        std::ranges::lower_bound(sites, site) - sites.begin()));
  return site_indices;
}

std::vector<SiteId> SitesOf(const std::vector<const ShareMap*>& maps) {
  std::vector<SiteId> sites;
  for (const ShareMap* map : maps)
    sites.insert(sites.end(), map->sites().begin(), map->sites().end());
  std::ranges::sort(sites);
  sites.erase(std::unique(sites.begin(), sites.end()), sites.end());
  return sites;
}

/// Adds one position to the bounds of the sites that it has in any map.
/// @param site_indices the position's site in each map.
void CountPosition(const std::vector<std::uint32_t>& site_indices,
                   std::vector<SiteShareBounds>& share_bounds) {
  bool same = true;
  for (std::size_t i = 0; i < site_indices.size(); ++i) {
    const auto before = site_indices.begin() + static_cast<std::ptrdiff_t>(i);
    same = same && site_indices[i] == site_indices[0];
    if (std::find(site_indices.begin(), before, site_indices[i]) == before)
      ++share_bounds[site_indices[i]].max;
  }
  if (same)
    ++share_bounds[site_indices[0]].min;
}

}  // namespace

void AnswerLedger::Replace(std::shared_ptr<const ShareMap> next,
                           Duration answer_lifetime,
                           TimePoint now) {
  const TimePoint expires = std::max(latest_expiry_, now + answer_lifetime);
  retired_.push_back({std::exchange(in_force_, std::move(next)), expires});
}

void AnswerLedger::Record(SiteId site, TimePoint expires, TimePoint now) {
  latest_expiry_ = std::max(latest_expiry_, expires);
  live_answers_[site].Add(1, expires, now);
}

void AnswerLedger::ExpireBefore(TimePoint before) {
  std::erase_if(retired_, [before](const RetiredMap& retired) {
    return retired.expires <= before;
  });
}

bool AnswerLedger::MaySend(ClientPosition position,
                           SiteId site,
                           TimePoint now) const {
  if (in_force_->SiteAt(position) == site)
    return true;
  return std::ranges::any_of(retired_, [&](const RetiredMap& retired) {
    return retired.expires > now && retired.map->SiteAt(position) == site;
  });
}

std::size_t AnswerLedger::LiveMapCount(TimePoint now) const {
  return static_cast<std::size_t>(std::ranges::count_if(
      retired_,
      [now](const RetiredMap& retired) { return retired.expires > now; }));
}

std::int64_t AnswerLedger::LiveAnswers(SiteId site, TimePoint now) const {
  const auto found = live_answers_.find(site);
  return found == live_answers_.end() ? 0 : found->second.Total(now);
}

std::vector<SiteShareBounds> AnswerLedger::ShareBounds(TimePoint since) const {
  std::vector<const ShareMap*> maps{in_force_.get()};
  for (const auto& retired : retired_) {
    if (retired.expires > since)
      maps.push_back(retired.map.get());
  }
  const std::vector<SiteId> sites = SitesOf(maps);
  std::vector<std::vector<std::uint32_t>> site_indices_by_map;
  site_indices_by_map.reserve(maps.size());
  for (const ShareMap* map : maps)
    site_indices_by_map.push_back(SiteIndicesIn(*map, sites));
  std::vector<SiteShareBounds> share_bounds;
  share_bounds.reserve(sites.size());
  for (const SiteId site : sites)
    share_bounds.push_back({.site = site});
  std::vector<std::uint32_t> site_indices(maps.size());
  for (std::size_t position = 0; position < kWholeShare; ++position) {
    for (std::size_t i = 0; i < maps.size(); ++i)
      site_indices[i] = site_indices_by_map[i][maps[i]->SiteIndexAt(
          static_cast<ClientPosition>(position))];
    CountPosition(site_indices, share_bounds);
  }
  return share_bounds;
}

}  // namespace comfreyvane
