/// @file
/// Relays changes of the store's tables to other hosts.
#ifndef COMFREYVANE_GATEWAY_RELAY_HANDLER_H_
#define COMFREYVANE_GATEWAY_RELAY_HANDLER_H_

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <string>

#include "comfreyvane/base/refusal.h"
#include "comfreyvane/gateway/gateway_state.h"
#include "comfreyvane/gateway/relay_answer_cache.h"
#include "comfreyvane/gateway/relay_codec.h"
#include "comfreyvane/gateway/relay_header.h"
#include "comfreyvane/log/log.h"
#include "comfreyvane/net/async.h"
#include "comfreyvane/net/peer_authenticator.h"

namespace comfreyvane {

/// Answers other hosts' calls for changes of the store's tables.
/// @tparam Source has awaitable<RelayAnswer> WaitForChanges(RelayCall).
template <typename Source>
class RelayHandler {
 public:
  using Answer = boost::beast::http::response<boost::beast::http::string_body>;

  RelayHandler(GatewayState& state, Source& source)
      : state_(state), source_(source) {}

  template <typename Exchange>
  [[nodiscard]] asio::awaitable<bool> Handle(Exchange& exchange) {
    const std::string target(exchange.head().target());
    const auto code = exchange.head()[kRelayAuthHeader];
    Answer answer(boost::beast::http::status::forbidden, kHttp11);
    const PeerAuthenticator authenticator(state_.fleet_secret());
    const auto call =
        !state_.fleet_secret().empty() &&
                authenticator.Verify(kRelayCallStamp, target,
                                     std::string_view(code.data(), code.size()))
            ? ParseRelayCall(target)
            : std::nullopt;
    if (call) {
      const RelayAnswer changes = co_await source_.WaitForChanges(*call);
      answer.result(StatusOf(changes.status));
      const bool is_compressed =
          changes.status == RelayStatus::kDone &&
          exchange.head()[kRelayEncodingHeader] == kRelayDeflate &&
          RelayAnswerCache::IsLarge(changes);
      if (is_compressed)
        answer.set(kRelayEncodingHeader, kRelayDeflate);
      const std::string text = TextOf(*call, changes, is_compressed);
      answer.body() = authenticator.Sign(target, text) + '\n' + text;
    } else {
      Log(LogLevel::kWarning, "relay-call-refused", {{"target", target}});
    }
    const bool keep_alive = exchange.keep_alive() && exchange.body_done();
    answer.keep_alive(keep_alive);
    answer.prepare_payload();
    co_return co_await exchange.WriteAnswer(answer) ==
        ExchangeFailure::kNone&& keep_alive;
  }

  template <typename Exchange>
  [[nodiscard]] asio::awaitable<void> Refuse(Exchange& exchange,
                                             RefusalReason reason) {
    Log(LogLevel::kWarning, "relay-call-refused", {{"reason", reason}});
    exchange.Abort();
    co_return;
  }

 private:
  static constexpr unsigned kHttp11 = 11;

  [[nodiscard]] static boost::beast::http::status StatusOf(RelayStatus status) {
    using HttpStatus = boost::beast::http::status;
    switch (status) {
      case RelayStatus::kDone:
        return HttpStatus::ok;
      case RelayStatus::kHistoryLost:
        return HttpStatus::gone;
      case RelayStatus::kNotFresh:
      case RelayStatus::kNoAnswer:
        break;
    }
    return HttpStatus::service_unavailable;
  }

  [[nodiscard]] std::string TextOf(const RelayCall& call,
                                   const RelayAnswer& answer,
                                   bool is_compressed) {
    if (answer.status != RelayStatus::kDone)
      return EncodeRelayEra(answer.era);
    return is_compressed
               ? EncodeCompressedAnswer(answer, cache_.Encode(call, answer))
               : EncodeRelayAnswer(answer);
  }

  GatewayState& state_;
  Source& source_;
  RelayAnswerCache cache_;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_GATEWAY_RELAY_HANDLER_H_
