#include "comfreyvane/steer/shift_plan.h"

#include <algorithm>
#include <cassert>
#include <map>
#include <numeric>
#include <tuple>
#include <utility>

#include "comfreyvane/base/hash.h"
#include "comfreyvane/config/site_share.h"

namespace comfreyvane {
namespace {

/// Key of the moves between two sites; moves back to the earlier map (false)
/// are separate from others (true).
using Flow = std::tuple<bool, SiteId, SiteId>;

/// Moves with their sort keys in the sequence.
struct PlacedMoves {
  std::vector<std::size_t> places;
  std::vector<ShiftMove> moves;
};

/// Number of places over which the moves of each flow are spread evenly.
constexpr std::size_t kPlaces = 1U << 14U;

/// @param ordinal index of the move in its flow, less than `count`.
std::size_t PlaceOf(const Flow& flow, std::size_t ordinal, std::size_t count) {
  const std::size_t first = std::get<0>(flow) ? kPlaces : 0;
  return first + ordinal * kPlaces / count;
}

/// Stable counting sort by place.
std::vector<ShiftMove> Sorted(const PlacedMoves& placed) {
  std::vector<std::size_t> ends(2 * kPlaces + 1, 0);
  for (const std::size_t place : placed.places)
    ++ends[place + 1];
  std::partial_sum(ends.begin(), ends.end(), ends.begin());
  std::vector<ShiftMove> sorted(placed.moves.size());
  for (std::size_t i = 0; i < placed.moves.size(); ++i)
    sorted[ends[placed.places[i]]++] = placed.moves[i];
  return sorted;
}

std::uint64_t DigestOf(const ShareMap& map) {
  std::uint64_t digest = 0;
  for (const auto& [first, count, site] : map.Runs())
    digest = HashPair(digest, HashPair(site.value(), count));
  return digest;
}

std::vector<ShiftMove> Sequence(const ShareMap& earlier,
                                const ShareMap& base,
                                const ShareMap& target) {
  std::map<Flow, std::vector<ShiftMove>> flows;
  for (std::uint32_t i = 0; i < kWholeShare; ++i) {
    const auto position = static_cast<ClientPosition>(i);
    const ShiftMove move{position, base.SiteAt(position),
                         target.SiteAt(position)};
    if (move.from == move.to)
      continue;
    const bool is_new = earlier.SiteAt(position) != move.to;
    flows[{is_new, move.from, move.to}].push_back(move);
  }
  PlacedMoves placed;
  for (const auto& [flow, flow_moves] : flows) {
    for (std::size_t i = 0; i < flow_moves.size(); ++i) {
      placed.places.push_back(PlaceOf(flow, i, flow_moves.size()));
      placed.moves.push_back(flow_moves[i]);
    }
  }
  return Sorted(placed);
}

ShareMap MapOf(const std::vector<ShareRun>& runs) {
  auto map = ShareMap::OfRuns(runs);
  assert(map);
  return *std::move(map);
}

}  // namespace

bool IsConsistent(const ShiftProgress& progress) {
  const ShiftPlan plan(progress);
  return plan.digest() == progress.plan &&
         progress.remaining <= plan.moves().size();
}

ShiftPlan::ShiftPlan(const ShareMap& earlier,
                     const ShareMap& base,
                     std::span<const SiteAllocation> parts)
    : earlier_(earlier), base_(base) {
  const ShareMap target = base.Rebalanced(parts, earlier);
  moves_ = Sequence(earlier, base, target);
  for (std::size_t i = 0; i < moves_.size(); ++i)
    ends_of_gain_[moves_[i].to] = i + 1;
  digest_ =
      HashPair(HashPair(DigestOf(earlier), DigestOf(base)), DigestOf(target));
}

ShiftPlan::ShiftPlan(const ShiftProgress& progress)
    : ShiftPlan(MapOf(progress.earlier),
                MapOf(progress.base),
                progress.declared) {}

std::size_t ShiftPlan::EndOfGain(SiteId site) const {
  const auto found = ends_of_gain_.find(site);
  return found == ends_of_gain_.end() ? 0 : found->second;
}

ShareMap ShiftPlan::MapAfter(std::size_t moves) const {
  return base_.With(std::span(moves_).first(moves));
}

}  // namespace comfreyvane
