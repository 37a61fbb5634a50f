#include "comfreyvane/peer/notification_server.h"

#include <jsonrpccpp/server/abstractserver.h>
#include <jsonrpccpp/server/abstractserverconnector.h>

#include <map>
#include <utility>

#include "comfreyvane/rpc/notification_batch.h"

namespace comfreyvane {

/// Passes text to libjsonrpccpp. Our own listener receives it, so this one
/// neither listens nor sends.
class NotificationServer::Connector final
    : public jsonrpc::AbstractServerConnector {
 public:
  bool StartListening() override { return true; }
  bool StopListening() override { return true; }
  bool SendResponse(const std::string&, void*) override { return true; }
};

/// Dispatches by libjsonrpccpp's procedure table, which checks parameters.
class NotificationServer::Dispatcher final
    : public jsonrpc::AbstractServer<Dispatcher> {
 public:
  explicit Dispatcher(Connector& connector)
      : jsonrpc::AbstractServer<Dispatcher>(connector) {}

  void Bind(const std::string& method, Handler receive) {
    handlers_[method] = std::move(receive);
    bindAndAddNotification(
        jsonrpc::Procedure(method, jsonrpc::PARAMS_BY_NAME, kMessageParameter,
                           jsonrpc::JSON_ARRAY, nullptr),
        &Dispatcher::Ignore);
  }

  void HandleNotificationCall(jsonrpc::Procedure& procedure,
                              const Json::Value& input) override {
    const Json::Value& message = input[kMessageParameter];
    if (message.size() == 1)
      handlers_[procedure.GetProcedureName()](message[0]);
  }

 private:
  void Ignore(const Json::Value&) {}

  std::map<std::string, Handler> handlers_;
};

NotificationServer::NotificationServer()
    : connector_(std::make_unique<Connector>()),
      dispatcher_(std::make_unique<Dispatcher>(*connector_)) {}

NotificationServer::~NotificationServer() = default;

void NotificationServer::Bind(const std::string& method, Handler handler) {
  dispatcher_->Bind(method, std::move(handler));
}

bool NotificationServer::Receive(const std::string& batch) {
  std::string errors;
  // The library throws on text that nests too deeply.
  try {
    connector_->GetHandler()->HandleRequest(batch, errors);
  } catch (const Json::Exception&) {
    return false;
  }
  return errors.empty();
}

}  // namespace comfreyvane
