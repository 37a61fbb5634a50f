#include "comfreyvane/rpc/notification_batch.h"

#include <jsonrpccpp/client/batchcall.h>

namespace comfreyvane {

std::string NotificationBatch(const std::vector<Notification>& notifications) {
  jsonrpc::BatchCall batch;
  for (const Notification& notification : notifications) {
    Json::Value params(Json::objectValue);
    params[kMessageParameter].append(notification.message);
    batch.addCall(notification.method, params, true);
  }
  return batch.toString(true);
}

}  // namespace comfreyvane
