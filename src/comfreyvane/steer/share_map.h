/// @file
/// Sites of all positions of a service.
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
  /// @param parts add up to kWholeShare; no site twice.
  /// @return consecutive runs in the order given.
  [[nodiscard]] static ShareMap Of(std::span<const SiteAllocation> parts);

  /// @param runs cover each position once, in order.
  /// @return the map, or nothing where the runs do not.
  [[nodiscard]] static std::optional<ShareMap> OfRuns(
      std::span<const ShareRun> runs);

  [[nodiscard]] SiteId SiteAt(ClientPosition position) const {
    return sites_[at_[position]];
  }

  /// @return the number of positions at the site.
  [[nodiscard]] std::uint32_t PositionCount(SiteId site) const;

  /// @return parts of all sites that have some, ascending by site.
  [[nodiscard]] std::vector<SiteAllocation> Allocations() const;

  /// @return the runs of this map, in order.
  [[nodiscard]] std::vector<ShareRun> Runs() const;

  /// The map with the wanted parts that moves the fewest positions. A site
  /// first regains positions that it had in the earlier map.
  /// @param parts add up to kWholeShare; no site twice.
  /// @param earlier positions to prefer, such as those of the map before a
  ///     rolled-back shift.
  [[nodiscard]] ShareMap Rebalanced(std::span<const SiteAllocation> parts,
                                    const ShareMap& earlier) const;

  /// @return this map after the moves.
  [[nodiscard]] ShareMap With(std::span<const ShiftMove> moves) const;

  /// @return the sites known to the map, some perhaps without parts; a
  ///     position's site is at its site index.
  [[nodiscard]] const std::vector<SiteId>& sites() const { return sites_; }
  [[nodiscard]] std::uint16_t SiteIndexAt(ClientPosition position) const {
    return at_[position];
  }

  /// Maps are equal if each position goes to the same site.
  friend bool operator==(const ShareMap& left, const ShareMap& right);

 private:
  ShareMap() = default;
  static constexpr std::uint16_t kNoIndex = 0xffff;

  std::uint16_t IndexOf(SiteId site);

  void CountPositions();

  std::vector<SiteId> sites_;
  std::vector<std::uint32_t> position_counts_;
  std::vector<std::uint16_t> at_;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_STEER_SHARE_MAP_H_
