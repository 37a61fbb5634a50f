/// @file
/// JSON-RPC text of notifications. Readable as C++14, since the client headers
/// of libjsonrpccpp are.
#ifndef COMFREYVANE_RPC_NOTIFICATION_BATCH_H_
#define COMFREYVANE_RPC_NOTIFICATION_BATCH_H_

#include <string>
#include <vector>

#include "comfreyvane/rpc/notification.h"

namespace comfreyvane {

/// Name of the one parameter of each notification: an array of one message,
/// which may be of any type.
constexpr const char* kMessageParameter = "message";

/// @return a JSON-RPC 2.0 batch of the notifications, in their order.
std::string NotificationBatch(const std::vector<Notification>& notifications);

}  // namespace comfreyvane

#endif  // COMFREYVANE_RPC_NOTIFICATION_BATCH_H_
