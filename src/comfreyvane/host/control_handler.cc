#include "comfreyvane/host/control_handler.h"

#include <boost/asio/steady_timer.hpp>

#include "comfreyvane/log/log.h"
#include "comfreyvane/metrics/prometheus_text.h"
#include "comfreyvane/net/clock.h"
#include "comfreyvane/net/peer_authenticator.h"
#include "comfreyvane/operate/bearer_token.h"
#include "comfreyvane/peer/peer_stamp.h"

namespace comfreyvane {
namespace {

constexpr unsigned kOk = 200;
constexpr unsigned kNoContent = 204;
constexpr unsigned kBadRequest = 400;
constexpr unsigned kUnauthorized = 401;
constexpr unsigned kNotFound = 404;

}  // namespace

ControlHandler::ControlHandler(ControlContext& context,
                               const PeerAuthenticator& authenticator,
                               NotificationServer& notifications,
                               OperatorDesk& operators,
                               std::string operator_token)
    : context_(context),
      authenticator_(authenticator),
      notifications_(notifications),
      operators_(operators),
      operator_token_(std::move(operator_token)),
      replays_(context.host.self, context.host.incarnation) {}

ControlHandler::Reply ControlHandler::ServePeer(const std::string& stamp,
                                                const std::string& code,
                                                const std::string& body) {
  const auto parsed = ParsePeerStamp(stamp);
  if (!parsed || !authenticator_.Verify(stamp, body, code))
    return {kUnauthorized, {}};
  switch (replays_.Take(*parsed)) {
    case ReplayVerdict::kTake:
      break;
    case ReplayVerdict::kWrongTarget:
      return {kWrongTargetStatus,
              std::to_string(context_.host.incarnation.value())};
    case ReplayVerdict::kForeign:
    case ReplayVerdict::kReplayed:
      return {kBadRequest, {}};
  }
  sender_ = parsed->from;
  if (notifications_.Receive(body))
    return {kNoContent, {}};
  Log(LogLevel::kWarning, "peer-batch-unreadable", {{"host", parsed->from}});
  return {kBadRequest, {}};
}

asio::awaitable<ControlHandler::Reply> ControlHandler::ServeOperator(
    boost::beast::http::verb method,
    const std::string& target,
    const std::string& authorization,
    const std::string& body) {
  if (!CarriesToken(authorization, operator_token_)) {
    const auto refused =
        OperatorDesk::ErrorReply(OperatorErrorKind::kUnauthorized);
    co_return Reply{refused.status, refused.body};
  }
  struct Pending {
    explicit Pending(asio::io_context& io) : wakeup(io) {
      wakeup.expires_at(asio::steady_timer::time_point::max());
    }
    asio::steady_timer wakeup;
    std::optional<OperatorReply> reply;
  };
  const auto pending = std::make_shared<Pending>(context_.io);
  operators_.Serve(
      method, target, body,
      [pending](OperatorReply reply) {
        pending->reply = std::move(reply);
        pending->wakeup.cancel();
      },
      MonotonicNow());
  if (!pending->reply)
    co_await pending->wakeup.async_wait(kAwait);
  co_return Reply{pending->reply->status, std::move(pending->reply->body)};
}

ControlHandler::Reply ControlHandler::ServeOpen(std::string_view target) const {
  if (target == "/metrics") {
    return {kOk, PrometheusText(context_.host.metrics.Snapshot(MonotonicNow())),
            std::string(kPrometheusContentType)};
  }
  if (target == "/health")
    return {kOk, "{\"healthy\":true}"};
  return {kNotFound, "{}"};
}

}  // namespace comfreyvane
