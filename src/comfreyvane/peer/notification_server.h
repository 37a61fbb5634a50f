/// @file
/// Receiver of JSON-RPC notifications.
#ifndef COMFREYVANE_PEER_NOTIFICATION_SERVER_H_
#define COMFREYVANE_PEER_NOTIFICATION_SERVER_H_

#include <json/value.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace comfreyvane {

/// Hands the notifications of a batch to handlers by method.
class NotificationServer {
 public:
  using Handler = std::function<void(const Json::Value&)>;

  NotificationServer();
  ~NotificationServer();
  NotificationServer(const NotificationServer&) = delete;
  NotificationServer& operator=(const NotificationServer&) = delete;

  /// Adds a method. Each method once.
  void Bind(const std::string& method, Handler handler);

  /// Runs the handlers of a batch in its order.
  /// @return whether all of it was understood.
  [[nodiscard]] bool Receive(const std::string& batch);

 private:
  class Connector;
  class Dispatcher;

  std::unique_ptr<Connector> connector_;
  std::unique_ptr<Dispatcher> dispatcher_;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_PEER_NOTIFICATION_SERVER_H_
