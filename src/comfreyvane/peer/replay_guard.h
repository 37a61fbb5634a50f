/// @file
/// Recognises messages that were received before.
#ifndef COMFREYVANE_PEER_REPLAY_GUARD_H_
#define COMFREYVANE_PEER_REPLAY_GUARD_H_

#include <unordered_map>

#include "comfreyvane/base/basic_id.h"
#include "comfreyvane/base/incarnation.h"
#include "comfreyvane/peer/peer_stamp.h"

namespace comfreyvane {

/// What to do with a message.
enum class ReplayVerdict {
  kTake,
  kReplayed,     ///< Seen before, or overtaken by a later one.
  kForeign,      ///< For another host.
  kWrongTarget,  ///< For another run of this host; the sender must learn of it.
};

/// Takes each message once. A message for an earlier run of this host, or for
/// an unknown one, is not taken, so that records of traffic cannot be played
/// to a restarted host.
class ReplayGuard {
 public:
  ReplayGuard(HostId self, Incarnation incarnation);

  /// Notes a message as received, if it is to be taken.
  [[nodiscard]] ReplayVerdict Take(const PeerStamp& stamp);

 private:
  struct Seen {
    Incarnation incarnation;
    std::uint64_t sequence = 0;
  };

  HostId self_;
  Incarnation incarnation_;
  std::unordered_map<HostId, Seen> seen_;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_PEER_REPLAY_GUARD_H_
