/// @file
/// Assignment of a client block to its nearest site.
#ifndef COMFREYVANE_STEER_BLOCK_ASSIGNMENT_H_
#define COMFREYVANE_STEER_BLOCK_ASSIGNMENT_H_

#include "comfreyvane/base/basic_id.h"
#include "comfreyvane/steer/client_block.h"

namespace comfreyvane {

/// A block of client addresses and the site nearest to it.
struct BlockAssignment {
  ClientBlock block{};
  SiteId site{};

  friend auto operator<=>(const BlockAssignment&,
                          const BlockAssignment&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_STEER_BLOCK_ASSIGNMENT_H_
