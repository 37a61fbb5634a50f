#include "comfreyvane/steer/share_map.h"

#include <algorithm>
#include <cassert>
#include <numeric>

#include "comfreyvane/config/site_share.h"

namespace comfreyvane {
namespace {

constexpr std::size_t kPositions = kWholeShare;

/// Positions that each site index is to gain (positive) or lose (negative).
using Balance = std::vector<std::int64_t>;

}  // namespace

std::uint16_t ShareMap::IndexOf(SiteId site) {
  const auto found = std::ranges::find(sites_, site);
  if (found == sites_.end()) {
    sites_.push_back(site);
    return static_cast<std::uint16_t>(sites_.size() - 1);
  }
  return static_cast<std::uint16_t>(found - sites_.begin());
}

ShareMap ShareMap::Of(std::span<const SiteAllocation> parts) {
  ShareMap map;
  map.site_index_at_.reserve(kPositions);
  for (const auto& [site, count] : parts)
    map.site_index_at_.insert(map.site_index_at_.end(), count,
                              map.IndexOf(site));
  assert(map.site_index_at_.size() == kPositions);
  map.CountPositions();
  return map;
}

std::optional<ShareMap> ShareMap::OfRuns(std::span<const ShareRun> runs) {
  ShareMap map;
  map.site_index_at_.reserve(kPositions);
  for (const auto& [first, count, site] : runs) {
    if (first != map.site_index_at_.size() || first + count > kPositions)
      return std::nullopt;
    map.site_index_at_.insert(map.site_index_at_.end(), count,
                              map.IndexOf(site));
  }
  if (map.site_index_at_.size() != kPositions)
    return std::nullopt;
  map.CountPositions();
  return map;
}

void ShareMap::CountPositions() {
  position_counts_.assign(sites_.size(), 0);
  for (const std::uint16_t index : site_index_at_)
    ++position_counts_[index];
}

std::uint32_t ShareMap::PositionCount(SiteId site) const {
  const auto found = std::ranges::find(sites_, site);
  if (found == sites_.end())
    return 0;
  return position_counts_[static_cast<std::size_t>(found - sites_.begin())];
}

std::vector<SiteAllocation> ShareMap::Allocations() const {
  std::vector<SiteAllocation> parts;
  for (std::size_t i = 0; i < sites_.size(); ++i) {
    if (position_counts_[i] > 0)
      parts.push_back({sites_[i], position_counts_[i]});
  }
  std::ranges::sort(parts);
  return parts;
}

std::vector<ShareRun> ShareMap::Runs() const {
  std::vector<ShareRun> runs;
  for (std::size_t position = 0; position < kPositions; ++position) {
    if (position == 0 ||
        site_index_at_[position] != site_index_at_[position - 1])
      runs.push_back({static_cast<ClientPosition>(position), 0,
                      sites_[site_index_at_[position]]});
    ++runs.back().count;
  }
  return runs;
}

ShareMap ShareMap::Rebalanced(std::span<const SiteAllocation> parts,
                              const ShareMap& earlier) const {
  ShareMap next = *this;
  std::vector<SiteAllocation> ordered(parts.begin(), parts.end());
  std::ranges::sort(ordered);
  for (const auto& part : ordered)
    std::ignore = next.IndexOf(part.site);
  Balance balance(next.sites_.size(), 0);
  for (const auto& [site, count] : ordered)
    balance[next.IndexOf(site)] += count;
  for (const std::uint16_t index : site_index_at_)
    --balance[index];
  const auto move = [&](std::size_t position, std::uint16_t to) {
    ++balance[next.site_index_at_[position]];
    --balance[to];
    next.site_index_at_[position] = to;
  };
  std::vector<std::uint16_t> regained(earlier.sites_.size(), kNoIndex);
  for (std::size_t i = 0; i < earlier.sites_.size(); ++i) {
    const auto found = std::ranges::find(next.sites_, earlier.sites_[i]);
    if (found != next.sites_.end())
      regained[i] = static_cast<std::uint16_t>(found - next.sites_.begin());
  }
  for (std::size_t position = 0; position < kPositions; ++position) {
    const std::uint16_t to = regained[earlier.site_index_at_[position]];
    if (to != kNoIndex && balance[to] > 0 &&
        balance[next.site_index_at_[position]] < 0)
      move(position, to);
  }
  auto gaining = ordered.begin();
  for (std::size_t position = 0; position < kPositions; ++position) {
    if (balance[next.site_index_at_[position]] >= 0)
      continue;
    while (balance[next.IndexOf(gaining->site)] <= 0)
      ++gaining;
    move(position, next.IndexOf(gaining->site));
  }
  next.CountPositions();
  return next;
}

ShareMap ShareMap::With(std::span<const ShiftMove> moves) const {
  ShareMap next = *this;
  SiteId site;
  std::uint16_t index = kNoIndex;
  for (const auto& move : moves) {
    if (index == kNoIndex || site != move.to) {
      site = move.to;
      index = next.IndexOf(site);
    }
    next.site_index_at_[move.position] = index;
  }
  next.CountPositions();
  return next;
}

bool operator==(const ShareMap& left, const ShareMap& right) {
  for (std::size_t position = 0; position < kPositions; ++position) {
    const auto at = static_cast<ClientPosition>(position);
    if (left.SiteAt(at) != right.SiteAt(at))
      return false;
  }
  return true;
}

}  // namespace comfreyvane
