#include "comfreyvane/steer/step_checkpoints.h"

#include <algorithm>
#include <map>

namespace comfreyvane {
namespace {

using SiteCounts = std::map<SiteId, std::uint64_t>;

/// @return the number of moves from the start that keep each site within the
///     cap.
std::size_t MaxMoves(const ShiftPlan& plan, const StepStart& start) {
  SiteCounts gained;
  SiteCounts lost;
  std::size_t end = start.moves_done;
  for (; end < plan.moves().size(); ++end) {
    const ShiftMove& move = plan.moves()[end];
    if (++gained[move.to] > start.cap || ++lost[move.from] > start.cap)
      break;
  }
  return end - start.moves_done;
}

std::size_t MovesUpTo(std::size_t max_moves, std::size_t checkpoints) {
  return max_moves * checkpoints / kStepCheckpoints;
}

}  // namespace

std::size_t CheckpointEnd(const ShiftPlan& plan,
                          const StepStart& start,
                          std::size_t count) {
  return MovesUpTo(MaxMoves(plan, start), count);
}

std::array<std::uint64_t, kStepCheckpoints> MovedTraffic(
    const ShiftPlan& plan,
    const StepStart& start,
    const PositionWeights& weights) {
  const std::size_t max_moves = MaxMoves(plan, start);
  std::array<std::uint64_t, kStepCheckpoints> traffic{};
  SiteCounts gained;
  SiteCounts lost;
  std::uint64_t largest = 0;
  std::size_t moves = 0;
  for (std::size_t i = 0; i < kStepCheckpoints; ++i) {
    for (; moves < MovesUpTo(max_moves, i + 1); ++moves) {
      const ShiftMove& move = plan.moves()[start.moves_done + moves];
      const std::uint64_t weight = weights.weight(move.position);
      largest = std::max(
          {largest, gained[move.to] += weight, lost[move.from] += weight});
    }
    traffic[i] = largest;
  }
  return traffic;
}

}  // namespace comfreyvane
