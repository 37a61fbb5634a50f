/// @file
/// Assignment of client positions to sites.
#ifndef COMFREYVANE_STEER_SHARE_MAP_H_
#define COMFREYVANE_STEER_SHARE_MAP_H_

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

#include "comfreyvane/base/basic_id.h"
#include "comfreyvane/steer/client_position.h"
#include "comfreyvane/steer/share_run.h"
#include "comfreyvane/steer/shift_move.h"
#include "comfreyvane/steer/site_allocation.h"

namespace comfreyvane {

/// Immutable assignment of each client position of a service to a site.
class ShareMap {
 public:
  /// @param parts must add up to kWholeShare; no site twice.
  /// @return a map that assigns consecutive positions in the given order.
  [[nodiscard]] static ShareMap Of(std::span<const SiteAllocation> parts);

  /// @param runs in order of position.
  /// @return the map, or nothing if the runs don't cover each position once.
  [[nodiscard]] static std::optional<ShareMap> OfRuns(
      std::span<const ShareRun> runs);

  [[nodiscard]] SiteId SiteAt(ClientPosition position) const {
    return sites_[site_index_at_[position]];
  }

  /// @return the number of positions at the site.
  [[nodiscard]] std::uint32_t PositionCount(SiteId site) const;

  /// @return the sites with at least one position, ascending by site.
  [[nodiscard]] std::vector<SiteAllocation> Allocations() const;

  /// @return the runs of this map, in order.
  [[nodiscard]] std::vector<ShareRun> Runs() const;

  /// Rebalances the positions with the fewest possible moves. A site first
  /// regains positions that it had in the earlier map.
  /// @param parts must add up to kWholeShare; no site twice.
  /// @param earlier map to prefer, such as the one before a shift that is now
  ///     rolled back.
  /// @return the map with the given parts.
  [[nodiscard]] ShareMap Rebalanced(std::span<const SiteAllocation> parts,
                                    const ShareMap& earlier) const;

  /// @return a copy of this map with the moves applied.
  [[nodiscard]] ShareMap With(std::span<const ShiftMove> moves) const;

  /// @return the sites of the map by site index; some may have no positions.
  [[nodiscard]] const std::vector<SiteId>& sites() const { return sites_; }
  [[nodiscard]] std::uint16_t SiteIndexAt(ClientPosition position) const {
    return site_index_at_[position];
  }

  /// Maps are equal if they assign each position to the same site.
  friend bool operator==(const ShareMap& left, const ShareMap& right);

 private:
  ShareMap() = default;
  static constexpr std::uint16_t kNoIndex = 0xffff;

  std::uint16_t IndexOf(SiteId site);

  void CountPositions();

  std::vector<SiteId> sites_;
  std::vector<std::uint32_t> position_counts_;
  std::vector<std::uint16_t> site_index_at_;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_STEER_SHARE_MAP_H_
