/// @file
/// Builder of look-up tables.
#ifndef COMFREYVANE_STEER_LOOKUP_TABLE_BUILDER_H_
#define COMFREYVANE_STEER_LOOKUP_TABLE_BUILDER_H_

#include <boost/leaf/result.hpp>
#include <cstddef>
#include <memory>
#include <vector>

#include "comfreyvane/base/revision.h"
#include "comfreyvane/steer/block_assignment.h"
#include "comfreyvane/steer/lookup_error.h"
#include "comfreyvane/steer/lookup_table.h"

namespace comfreyvane {

/// Maximum number of sites in a look-up table.
inline constexpr std::size_t kMaxLookupSites = 65000;

/// Collects sites and blocks and builds a table from them. Intended for a
/// thread that serves no requests.
class LookupTableBuilder {
 public:
  explicit LookupTableBuilder(Revision revision) : revision_(revision) {}

  void AddSite(const SiteState& state) { sites_.push_back(state); }
  void AddBlock(const BlockAssignment& assignment) {
    blocks_.push_back(assignment);
  }
  void Reserve(std::size_t blocks) { blocks_.reserve(blocks); }

  /// Builds the table and empties the builder. The order of additions doesn't
  /// matter; repeated equal assignments are permitted.
  /// @return the table, or a LookupError.
  [[nodiscard]] boost::leaf::result<std::shared_ptr<const LookupTable>> Build();

 private:
  Revision revision_;
  std::vector<SiteState> sites_;
  std::vector<BlockAssignment> blocks_;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_STEER_LOOKUP_TABLE_BUILDER_H_
