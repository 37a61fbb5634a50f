/// @file
/// Serves other hosts.
#ifndef COMFREYVANE_GATEWAY_PEER_HANDLER_H_
#define COMFREYVANE_GATEWAY_PEER_HANDLER_H_

#include "comfreyvane/base/refusal_reason.h"
#include "comfreyvane/gateway/carried_codec.h"
#include "comfreyvane/net/async.h"

namespace comfreyvane {

/// Serves the calls of other hosts: those for the store's changes, and requests
/// that this host carries.
/// @tparam Relay see RelayHandler.
/// @tparam Requests see GatewayHandler.
template <typename Relay, typename Requests>
class PeerHandler {
 public:
  PeerHandler(Relay& relay, Requests& requests)
      : relay_(relay), requests_(requests) {}

  template <typename Exchange>
  [[nodiscard]] asio::awaitable<bool> Handle(Exchange& exchange) {
    if (exchange.head().count(kCarriedMarkField) > 0)
      co_return co_await requests_.HandleCarried(exchange);
    co_return co_await relay_.Handle(exchange);
  }

  template <typename Exchange>
  [[nodiscard]] asio::awaitable<void> Refuse(Exchange& exchange,
                                             RefusalReason reason) {
    co_await relay_.Refuse(exchange, reason);
  }

 private:
  Relay& relay_;
  Requests& requests_;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_GATEWAY_PEER_HANDLER_H_
