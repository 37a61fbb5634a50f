/// @file
/// Actions of a planned stop.
#ifndef COMFREYVANE_DRAIN_STOP_ACTION_H_
#define COMFREYVANE_DRAIN_STOP_ACTION_H_

#include <variant>
#include <vector>

namespace comfreyvane {

/// Announce to members and look-ups that this host is leaving.
struct AnnounceLeaving {
  friend bool operator==(const AnnounceLeaving&,
                         const AnnounceLeaving&) = default;
};

/// Close the listening sockets and idle connections, and send "Connection:
/// close" with each further answer.
struct StopAccepting {
  friend bool operator==(const StopAccepting&, const StopAccepting&) = default;
};

/// Return tokens, slots and leases. StopCore then waits for OnLeasesReturned,
/// up to StopSettings::return_timeout.
struct ReturnLeases {
  friend bool operator==(const ReturnLeases&, const ReturnLeases&) = default;
};

/// Answer the requests that still run or wait, since the process is about to
/// be killed.
struct GiveUp {
  friend bool operator==(const GiveUp&, const GiveUp&) = default;
};

/// Close the remaining connections and exit; no request is running, or the
/// process is about to be killed.
struct CloseAll {
  friend bool operator==(const CloseAll&, const CloseAll&) = default;
};

/// An action of a planned stop.
using StopAction = std::
    variant<AnnounceLeaving, StopAccepting, ReturnLeases, GiveUp, CloseAll>;

/// Actions in order of execution.
using StopActions = std::vector<StopAction>;

}  // namespace comfreyvane

#endif  // COMFREYVANE_DRAIN_STOP_ACTION_H_
