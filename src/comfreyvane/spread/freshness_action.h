/// @file
/// Actions of the freshness core.
#ifndef COMFREYVANE_SPREAD_FRESHNESS_ACTION_H_
#define COMFREYVANE_SPREAD_FRESHNESS_ACTION_H_

#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

#include "comfreyvane/base/basic_id.h"
#include "comfreyvane/base/time.h"
#include "comfreyvane/spread/freshness_message.h"
#include "comfreyvane/spread/head_row.h"
#include "comfreyvane/storage/table_row.h"

namespace comfreyvane {

/// Send a message to a peer.
struct SendFreshnessMessage {
  HostId to;
  FreshnessMessage message;

  friend bool operator==(const SendFreshnessMessage&,
                         const SendFreshnessMessage&) = default;
};

/// Read kHeadKey and kAcceptorsKey, and answer by FreshnessCore::OnHeadRead.
struct ReadHead {
  std::uint64_t number = 0;  ///< Unique to the read.

  friend bool operator==(const ReadHead&, const ReadHead&) = default;
};

/// A revision beyond the one in force is known: SpreadCore::OnHead is to be
/// told.
struct NewerRevisionSeen {
  HeadRow head;  ///< Digest zero when only the revision is known.
  std::optional<TimePoint> begun;  ///< Of the read of the store; none: a peer.

  friend bool operator==(const NewerRevisionSeen&,
                         const NewerRevisionSeen&) = default;
};

/// The row of acceptors as the store showed it: AcceptorCore::OnRow is to be
/// told.
struct AcceptorsRowSeen {
  TableRow row;
  TimePoint begun;

  friend bool operator==(const AcceptorsRowSeen&,
                         const AcceptorsRowSeen&) = default;
};

/// An action of the freshness core.
using FreshnessAction = std::variant<SendFreshnessMessage,
                                     ReadHead,
                                     NewerRevisionSeen,
                                     AcceptorsRowSeen>;

/// Actions in the order in which they are to be taken.
using FreshnessActions = std::vector<FreshnessAction>;

}  // namespace comfreyvane

#endif  // COMFREYVANE_SPREAD_FRESHNESS_ACTION_H_
