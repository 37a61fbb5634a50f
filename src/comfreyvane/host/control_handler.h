/// @file
/// Serves the peer port.
#ifndef COMFREYVANE_HOST_CONTROL_HANDLER_H_
#define COMFREYVANE_HOST_CONTROL_HANDLER_H_

#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "comfreyvane/host/control_context.h"
#include "comfreyvane/host/operator_desk.h"
#include "comfreyvane/host/refusal_answer.h"
#include "comfreyvane/net/whole_body.h"
#include "comfreyvane/peer/notification_server.h"
#include "comfreyvane/peer/replay_guard.h"

namespace comfreyvane {

/// Serves peers, operators and whoever reads metrics, on the control thread.
class ControlHandler {
 public:
  ControlHandler(ControlContext& context,
                 const PeerAuthenticator& authenticator,
                 NotificationServer& notifications,
                 OperatorDesk& operators,
                 std::string operator_token);

  /// @return the sender of the batch that is received now.
  [[nodiscard]] HostId sender() const { return sender_; }

  template <typename Exchange>
  asio::awaitable<bool> Handle(Exchange& exchange) {
    const auto& head = exchange.head();
    const std::string target(head.target());
    const std::string stamp(head[kPeerStampField]);
    const std::string code(head[kPeerCodeField]);
    const std::string authorization(
        head[boost::beast::http::field::authorization]);
    const auto method = head.method();
    const auto body = co_await ReadWholeBody(exchange, kBodyBytes);
    if (!body)
      co_return false;
    Reply reply;
    if (target == kPeerPath)
      reply = ServePeer(stamp, code, *body);
    else if (target.starts_with(kOperatorPrefix))
      reply = co_await ServeOperator(method, target, authorization, *body);
    else
      reply = ServeOpen(target);
    const bool keep_alive = exchange.keep_alive();
    OwnAnswer answer =
        JsonAnswer(reply.status, std::move(reply.body),
                   {{}, context_.host.settings.name, keep_alive, 11});
    answer.set(boost::beast::http::field::content_type, reply.content_type);
    co_return co_await exchange.WriteAnswer(answer) ==
        ExchangeFailure::kNone&& keep_alive;
  }

  template <typename Exchange>
  asio::awaitable<void> Refuse(Exchange& exchange, RefusalReason reason) {
    OwnAnswer answer =
        RefusalAnswer({reason, RunState::kNotRun, {}},
                      {{}, context_.host.settings.name, false, 11});
    co_await exchange.WriteAnswer(answer);
  }

 private:
  struct Reply {
    unsigned status = 200;
    std::string body;
    std::string content_type = "application/json";
  };

  static constexpr std::size_t kBodyBytes = std::size_t{64} * 1024 * 1024;
  static constexpr std::string_view kOperatorPrefix = "/v1/";

  [[nodiscard]] Reply ServePeer(const std::string& stamp,
                                const std::string& code,
                                const std::string& body);
  [[nodiscard]] asio::awaitable<Reply> ServeOperator(
      boost::beast::http::verb method,
      const std::string& target,
      const std::string& authorization,
      const std::string& body);
  [[nodiscard]] Reply ServeOpen(std::string_view target) const;

  ControlContext& context_;
  const PeerAuthenticator& authenticator_;
  NotificationServer& notifications_;
  OperatorDesk& operators_;
  std::string operator_token_;
  ReplayGuard replays_;
  HostId sender_;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_HOST_CONTROL_HANDLER_H_
