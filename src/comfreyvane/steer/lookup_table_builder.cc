#include "comfreyvane/steer/lookup_table_builder.h"

#include <algorithm>
#include <boost/leaf/error.hpp>
#include <cstdint>
#include <utility>

namespace comfreyvane {
namespace leaf = boost::leaf;
namespace {

leaf::result<std::vector<BlockIndex::Entry>> EntriesOf(
    const std::vector<BlockAssignment>& blocks,
    const std::vector<SiteState>& states) {
  std::vector<BlockIndex::Entry> entries;
  entries.reserve(blocks.size());
  for (const auto& [block, site] : blocks) {
    const auto state =
        std::ranges::lower_bound(states, site, {}, &SiteState::site);
    if (state == states.end() || state->site != site)
      return leaf::new_error(LookupError::kUnknownSite);
    const auto value = static_cast<std::uint16_t>(state - states.begin());
    entries.push_back({block, value});
  }
  return entries;
}

bool SameBlock(const BlockAssignment& left, const BlockAssignment& right) {
  return left.block == right.block;
}

}  // namespace

leaf::result<std::shared_ptr<const LookupTable>> LookupTableBuilder::Build() {
  auto states = std::make_shared<LookupTable::SiteStates>(std::move(sites_));
  auto blocks = std::move(blocks_);
  sites_.clear();
  blocks_.clear();
  if (states->size() > kMaxLookupSites)
    return leaf::new_error(LookupError::kTooManySites);
  std::ranges::sort(*states, {}, &SiteState::site);
  states->shrink_to_fit();
  if (std::ranges::adjacent_find(*states, {}, &SiteState::site) !=
      states->end())
    return leaf::new_error(LookupError::kDuplicateSite);
  std::ranges::sort(blocks);
  blocks.erase(std::unique(blocks.begin(), blocks.end()), blocks.end());
  if (std::ranges::adjacent_find(blocks, SameBlock) != blocks.end())
    return leaf::new_error(LookupError::kConflictingBlock);
  auto entries = EntriesOf(blocks, *states);
  if (!entries)
    return entries.error();
  return std::make_shared<const LookupTable>(
      revision_, std::make_shared<const BlockIndex>(*entries),
      std::move(states));
}

}  // namespace comfreyvane
