/// @file
/// A JSON-RPC notification.
#ifndef COMFREYVANE_RPC_NOTIFICATION_H_
#define COMFREYVANE_RPC_NOTIFICATION_H_

#include <json/value.h>

#include <string>

namespace comfreyvane {

/// A JSON-RPC call that wants no answer.
struct Notification {
  std::string method;
  Json::Value message;  ///< The one parameter.
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_RPC_NOTIFICATION_H_
