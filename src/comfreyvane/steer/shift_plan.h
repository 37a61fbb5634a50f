/// @file
/// Sequence of moves of a shift.
#ifndef COMFREYVANE_STEER_SHIFT_PLAN_H_
#define COMFREYVANE_STEER_SHIFT_PLAN_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <span>
#include <vector>

#include "comfreyvane/steer/share_map.h"
#include "comfreyvane/steer/shift_move.h"
#include "comfreyvane/steer/shift_progress.h"
#include "comfreyvane/steer/site_allocation.h"

namespace comfreyvane {

/// The one sequence in which positions move from a map to declared parts. The
/// same inputs give the same sequence on every host, so hosts differ only in
/// how far they are. All pairs of sites advance in proportion, so each site
/// gains or loses its part evenly along the sequence.
class ShiftPlan {
 public:
  /// @param earlier positions that moved since this map return first.
  /// @param base the map to start from.
  /// @param parts add up to kWholeShare.
  ShiftPlan(const ShareMap& earlier,
            const ShareMap& base,
            std::span<const SiteAllocation> parts);

  /// @param progress whose runs form whole share maps.
  explicit ShiftPlan(const ShiftProgress& progress);

  /// @return the same on hosts with the same sequence from the same base.
  [[nodiscard]] std::uint64_t digest() const { return digest_; }

  [[nodiscard]] const std::vector<ShiftMove>& moves() const { return moves_; }
  [[nodiscard]] const ShareMap& earlier() const { return earlier_; }
  [[nodiscard]] const ShareMap& base() const { return base_; }

  /// @return the number of moves after which the site gains no more.
  [[nodiscard]] std::size_t EndOfGain(SiteId site) const;

  /// @return the map after the first moves.
  [[nodiscard]] ShareMap MapAfter(std::size_t moves) const;

 private:
  ShareMap earlier_;
  ShareMap base_;
  std::uint64_t digest_ = 0;
  std::vector<ShiftMove> moves_;
  std::map<SiteId, std::size_t> ends_of_gain_;
};

/// @param progress from a peer, whose runs form whole share maps.
/// @return whether its digest and the moves left fit its plan.
[[nodiscard]] bool IsConsistent(const ShiftProgress& progress);

}  // namespace comfreyvane

#endif  // COMFREYVANE_STEER_SHIFT_PLAN_H_
