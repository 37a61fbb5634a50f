/// @file
/// Forward declarations of package rpc.
#ifndef COMFREYVANE_RPC_FWD_H_
#define COMFREYVANE_RPC_FWD_H_

namespace comfreyvane {

struct Notification;
class NotificationServer;

}  // namespace comfreyvane

#endif  // COMFREYVANE_RPC_FWD_H_
