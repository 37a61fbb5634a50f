/// @file
/// HTTP service of the platform stand-in.
#ifndef STANDINS_PLATFORM_HANDLER_H_
#define STANDINS_PLATFORM_HANDLER_H_

#include <json/value.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <string>
#include <string_view>

#include "comfreyvane/net/caller_exchange.h"
#include "comfreyvane/net/whole_body.h"
#include "standins/platform_faults.h"
#include "standins/platform_state.h"

namespace comfreyvane::standin {

/// Answers the calls that HttpPlatform makes, with faults as told.
class PlatformHandler {
 public:
  PlatformHandler(asio::io_context& io, PlatformState& state);

  /// What to answer to one call.
  struct Reply {
    unsigned status = 200;
    std::string body;
    bool lost = false;  ///< Close the connection in place of answering.
  };

  template <typename Exchange>
  asio::awaitable<bool> Handle(Exchange& exchange) {
    const std::string target(exchange.head().target());
    const auto method = exchange.head().method();
    const auto body = co_await ReadWholeBody(exchange, kBodyBytes);
    if (!body)
      co_return false;
    if (faults_.slow_ms > 0 && !target.starts_with(kControlPrefix))
      co_await Delay();
    const Reply reply = Serve(method, target, *body);
    if (reply.lost)
      co_return false;
    typename Exchange::Answer answer(
        static_cast<boost::beast::http::status>(reply.status), 11);
    answer.body() = reply.body;
    answer.prepare_payload();
    co_return co_await exchange.WriteAnswer(answer) == ExchangeFailure::kNone;
  }

  template <typename Exchange>
  asio::awaitable<void> Refuse(Exchange& exchange, RefusalReason reason) {
    typename Exchange::Answer answer(
        static_cast<boost::beast::http::status>(HttpStatus(reason)), 11);
    answer.prepare_payload();
    co_await exchange.WriteAnswer(answer);
  }

 private:
  static constexpr std::size_t kBodyBytes = std::size_t{64} * 1024 * 1024;
  static constexpr std::string_view kControlPrefix = "/standin/";

  [[nodiscard]] asio::awaitable<void> Delay();
  [[nodiscard]] Reply Serve(boost::beast::http::verb method,
                            std::string_view target,
                            const std::string& body);
  [[nodiscard]] Reply ServeCommit(const Json::Value& call);
  [[nodiscard]] Reply ServeTable(std::string_view target,
                                 const Json::Value& call);
  [[nodiscard]] Reply ServeObject(boost::beast::http::verb method,
                                  const std::string& name,
                                  const std::string& body);
  [[nodiscard]] Reply ServeHosts();
  [[nodiscard]] Reply ServeControl(std::string_view target,
                                   const Json::Value& call);

  asio::io_context& io_;
  PlatformState& state_;
  PlatformFaults faults_;
};

}  // namespace comfreyvane::standin

#endif  // STANDINS_PLATFORM_HANDLER_H_
