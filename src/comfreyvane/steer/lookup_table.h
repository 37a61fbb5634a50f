/// @file
/// Table from client addresses to sites.
#ifndef COMFREYVANE_STEER_LOOKUP_TABLE_H_
#define COMFREYVANE_STEER_LOOKUP_TABLE_H_

#include <cstddef>
#include <memory>
#include <optional>
#include <vector>

#include "comfreyvane/base/revision.h"
#include "comfreyvane/steer/block_index.h"
#include "comfreyvane/steer/lookup_match.h"
#include "comfreyvane/steer/site_state.h"

namespace comfreyvane {

/// Immutable map from client addresses to sites. Built by LookupTableBuilder on
/// any thread, shared as shared_ptr<const LookupTable> and replaced as a whole.
/// Tables that differ only in site states share the block index.
class LookupTable {
 public:
  using SiteStates = std::vector<SiteState>;

  /// @param revision of the configuration that the table was built from.
  /// @param index from addresses to positions in the states.
  /// @param states of all sites, ascending by site.
  LookupTable(Revision revision,
              std::shared_ptr<const BlockIndex> index,
              std::shared_ptr<const SiteStates> states);

  /// @return the site of the longest block that contains the address, or
  ///     nothing if no block does.
  [[nodiscard]] std::optional<LookupMatch> Find(
      const ClientAddress& address) const;

  /// @return the state of a site, or null if it is not in the table.
  [[nodiscard]] const SiteState* State(SiteId site) const;

  /// @param state new state of a site in the table.
  /// @return a copy with that state, which shares the block index. Null if the
  ///     site is not in the table.
  [[nodiscard]] std::shared_ptr<const LookupTable> WithSite(
      const SiteState& state) const;

  [[nodiscard]] Revision revision() const { return revision_; }

  /// @return bytes of the table, including the shared data.
  [[nodiscard]] std::size_t bytes() const;

 private:
  Revision revision_;
  std::shared_ptr<const BlockIndex> index_;
  std::shared_ptr<const SiteStates> states_;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_STEER_LOOKUP_TABLE_H_
