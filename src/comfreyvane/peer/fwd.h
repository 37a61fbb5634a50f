/// @file
/// Forward declarations of package peer.
#ifndef COMFREYVANE_PEER_FWD_H_
#define COMFREYVANE_PEER_FWD_H_

namespace comfreyvane {

struct PeerStamp;
class NotificationServer;
class PeerChannel;
class ReplayGuard;

}  // namespace comfreyvane

#endif  // COMFREYVANE_PEER_FWD_H_
