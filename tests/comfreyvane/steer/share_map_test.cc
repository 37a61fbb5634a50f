#include "comfreyvane/steer/share_map.h"

#include <algorithm>
#include <vector>

#include "comfreyvane/base/random_source.h"
#include "comfreyvane/config/site_share.h"
#include "support/criterion.h"

using namespace comfreyvane;

namespace {

using Parts = std::vector<SiteAllocation>;

Parts RandomParts(RandomSource& random) {
  Parts parts;
  std::uint32_t left = kWholeShare;
  for (std::uint64_t site = 1; site <= 4; ++site) {
    const auto count = static_cast<std::uint32_t>(random.Below(left + 1));
    parts.push_back({SiteId(site), site == 4 ? left : count});
    left -= parts.back().parts;
  }
  return parts;
}

std::uint32_t Moved(const ShareMap& from, const ShareMap& to) {
  std::uint32_t moved = 0;
  for (std::uint32_t i = 0; i < kWholeShare; ++i) {
    const auto position = static_cast<ClientPosition>(i);
    moved += from.SiteAt(position) != to.SiteAt(position) ? 1 : 0;
  }
  return moved;
}

std::uint32_t LeastMoves(const Parts& from, const Parts& to) {
  std::uint32_t moves = 0;
  for (std::size_t i = 0; i < from.size(); ++i)
    moves += to[i].parts > from[i].parts ? to[i].parts - from[i].parts : 0;
  return moves;
}

}  // namespace

Test(share_map, moves_the_fewest_positions_and_returns_to_the_earlier_map) {
  RandomSource random(1);
  for (int i = 0; i < 500; ++i) {
    const Parts before = RandomParts(random);
    const Parts after = RandomParts(random);
    const ShareMap first = ShareMap::Of(before);
    const ShareMap second = first.Rebalanced(after, first);
    for (const auto& [site, parts] : after)
      cr_assert(second.PositionCount(site) == parts);
    cr_assert(Moved(first, second) == LeastMoves(before, after));
    cr_assert(second.Rebalanced(before, first) == first);
  }
}

Test(share_map, round_trips_through_runs) {
  RandomSource random(2);
  const ShareMap first = ShareMap::Of(RandomParts(random));
  const ShareMap map = first.Rebalanced(RandomParts(random), first);
  const auto again = ShareMap::OfRuns(map.Runs());
  cr_assert(again.has_value());
  cr_expect(*again == map);
}

Test(share_map, rejects_runs_that_do_not_cover_each_position_once) {
  const SiteId site(1);
  const std::vector<std::vector<ShareRun>> rows{
      {},
      {{0, 9999, site}},
      {{0, 5000, site}, {5001, 4999, site}},
      {{0, 5000, site}, {4999, 5001, site}},
      {{0, 10000, site}, {10000, 1, site}},
  };
  for (const auto& runs : rows)
    cr_expect(!ShareMap::OfRuns(runs).has_value());
}
