/// @file
/// Actions of a planned stop.
#ifndef COMFREYVANE_DRAIN_STOP_ACTION_H_
#define COMFREYVANE_DRAIN_STOP_ACTION_H_

#include <variant>
#include <vector>

namespace comfreyvane {

/// Tell members and look-ups that this host leaves.
struct AnnounceLeaving {
  friend bool operator==(const AnnounceLeaving&,
                         const AnnounceLeaving&) = default;
};

/// Close the listening sockets and put "Connection: close" on each answer from
/// now on; close connections without a request.
struct StopAccepting {
  friend bool operator==(const StopAccepting&, const StopAccepting&) = default;
};

/// Give tokens, slots and leases back. StopCore::OnLeasesReturned follows, or
/// its timeout.
struct ReturnLeases {
  friend bool operator==(const ReturnLeases&, const ReturnLeases&) = default;
};

/// Nothing runs any more: close what is open and exit.
struct CloseAll {
  friend bool operator==(const CloseAll&, const CloseAll&) = default;
};

/// An action of a planned stop.
using StopAction =
    std::variant<AnnounceLeaving, StopAccepting, ReturnLeases, CloseAll>;

/// Actions in the order in which they are to be taken.
using StopActions = std::vector<StopAction>;

}  // namespace comfreyvane

#endif  // COMFREYVANE_DRAIN_STOP_ACTION_H_
