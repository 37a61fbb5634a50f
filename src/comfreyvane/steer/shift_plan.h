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

/// The sequence of moves from a share map to the target shares. The same inputs
/// yield the same sequence on every host, so hosts differ only in how many
/// moves they have made. The moves of all pairs of sites are interleaved in
/// proportion, so each site gains or loses clients evenly along the sequence.
class ShiftPlan {
 public:
  /// @param earlier positions that moved away from this map are moved back
  ///     first.
  /// @param base the map to start from.
  /// @param parts add up to kWholeShare.
  ShiftPlan(const ShareMap& earlier,
            const ShareMap& base,
            std::span<const SiteAllocation> parts);

  /// @param progress its runs must form complete share maps.
  explicit ShiftPlan(const ShiftProgress& progress);

  /// @return a digest of base and sequence, equal on hosts with the same plan.
  [[nodiscard]] std::uint64_t digest() const { return digest_; }

  [[nodiscard]] const std::vector<ShiftMove>& moves() const { return moves_; }
  [[nodiscard]] const ShareMap& earlier() const { return earlier_; }
  [[nodiscard]] const ShareMap& base() const { return base_; }

  /// @return the number of moves after which the site gains no more positions.
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

/// @param progress from a peer; its runs must form complete share maps.
/// @return whether its digest and number of remaining moves match its plan.
[[nodiscard]] bool IsConsistent(const ShiftProgress& progress);

}  // namespace comfreyvane

#endif  // COMFREYVANE_STEER_SHIFT_PLAN_H_
