/// @file
/// Answers where to connect, and whether this host is ready.
#ifndef COMFREYVANE_GATEWAY_LOOK_UP_HANDLER_H_
#define COMFREYVANE_GATEWAY_LOOK_UP_HANDLER_H_

#include <algorithm>
#include <array>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <chrono>
#include <string>
#include <string_view>
#include <utility>

#include "comfreyvane/gateway/gateway_context.h"
#include "comfreyvane/gateway/look_up_query.h"
#include "comfreyvane/log/log.h"
#include "comfreyvane/metrics/prometheus_text.h"
#include "comfreyvane/net/async.h"
#include "comfreyvane/net/clock.h"

namespace comfreyvane {

/// Answers look-ups, readiness checks and requests for metrics.
/// @tparam Codec encodes and decodes messages:
///   optional<LookUpQuery> ParseLookUp(target)
///   string LookUpAnswer(addresses, ttl)
///   bool IsReadinessCall(target)
template <typename Codec>
class LookUpHandler {
 public:
  using Answer = boost::beast::http::response<boost::beast::http::string_body>;

  explicit LookUpHandler(GatewayContext& context) : context_(context) {}

  template <typename Exchange>
  [[nodiscard]] asio::awaitable<bool> Handle(Exchange& exchange) {
    const auto& head = exchange.head();
    const std::string_view target(head.target().data(), head.target().size());
    Answer answer = AnswerTo(target, MonotonicNow());
    answer.version(head.version());
    const bool keep_alive = exchange.keep_alive() && exchange.body_done();
    answer.keep_alive(keep_alive);
    answer.prepare_payload();
    co_return co_await exchange.WriteAnswer(answer) ==
        ExchangeFailure::kNone&& keep_alive;
  }

  template <typename Exchange>
  [[nodiscard]] asio::awaitable<void> Refuse(Exchange& exchange,
                                             RefusalReason reason) {
    Answer answer(static_cast<boost::beast::http::status>(HttpStatus(reason)),
                  kHttp11);
    answer.keep_alive(false);
    answer.prepare_payload();
    co_await exchange.WriteAnswer(answer);
  }

 private:
  /// How long callers may cache an answer. Short, so that they soon stop using
  /// hosts that shut down.
  static constexpr Duration kLookUpTtl = std::chrono::seconds(2);
  static constexpr unsigned kHttp11 = 11;
  static constexpr std::string_view kMetricsPath = "/metrics";

  [[nodiscard]] Answer AnswerTo(std::string_view target, TimePoint now) {
    using boost::beast::http::status;
    Answer answer(status::not_found, kHttp11);
    if (Codec::IsReadinessCall(target)) {
      const bool ready = context_.table != nullptr && !context_.leaving;
      answer.result(ready ? status::ok : status::service_unavailable);
    } else if (target == kMetricsPath) {
      answer.result(status::ok);
      answer.set(boost::beast::http::field::content_type, "text/plain");
      answer.body() = PrometheusText(context_.metrics.Snapshot(now));
    } else if (const auto query = Codec::ParseLookUp(target)) {
      context_.metrics.Count(CounterName::kLookUps);
      const auto addresses = context_.fleet.AddressesFor(
          query->region, query->failure_domain, context_.leaving, now);
      answer.result(status::ok);
      answer.set(boost::beast::http::field::content_type, "application/json");
      answer.body() = Codec::LookUpAnswer(
          addresses, std::min(kLookUpTtl, context_.settings.max_lookup_ttl));
    }
    return answer;
  }

  GatewayContext& context_;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_GATEWAY_LOOK_UP_HANDLER_H_
