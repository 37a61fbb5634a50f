/// @file
/// A host's call to the store for the rows of one table.
#ifndef COMFREYVANE_EDGE_FEED_CALL_H_
#define COMFREYVANE_EDGE_FEED_CALL_H_

#include <cstdint>

#include "comfreyvane/base/revision.h"
#include "comfreyvane/base/time.h"

namespace comfreyvane {

/// A host's call to the store for the rows of one table.
struct FeedCall {
  std::uint64_t id = 0;      ///< Unique among the calls of a host.
  bool is_snapshot = false;  ///< Asks for all rows.
  Revision position;         ///< Asks for the changes after it.
  Duration wait{};           ///< How long the store may wait for a change.
  TimePoint begun{};
  TimePoint received_at{};  ///< When the last part of its answer arrived.

  friend bool operator==(const FeedCall&, const FeedCall&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_EDGE_FEED_CALL_H_
