/// @file
/// Sends requests to backend servers.
#ifndef COMFREYVANE_GATEWAY_BACKEND_CALL_H_
#define COMFREYVANE_GATEWAY_BACKEND_CALL_H_

#include <boost/asio/io_context.hpp>
#include <boost/beast/http/message.hpp>
#include <functional>
#include <memory>

#include "comfreyvane/gateway/call_result.h"
#include "comfreyvane/gateway/gateway_context.h"
#include "comfreyvane/gateway/gateway_request.h"
#include "comfreyvane/net/async.h"
#include "comfreyvane/net/backend_pool.h"

namespace comfreyvane {

/// Sends requests to backend servers and reads their answers.
class BackendCall {
 public:
  using RequestHead = boost::beast::http::request_header<>;

  BackendCall(GatewayContext& context,
              asio::io_context& io,
              TimeoutSweeper& sweeper);

  /// Tries a backend server once. Reads answers up to a size whole, so that a
  /// broken one can be replaced; of larger ones the rest is left.
  /// @param head of the caller's request.
  /// @param watch called with a function that ends the attempt.
  /// @param unwatch called when that may not happen any more.
  [[nodiscard]] asio::awaitable<CallResult> Try(
      const GatewayRequest& request,
      const RequestHead& head,
      BackendServerId server,
      std::function<void(std::function<void()>)> watch,
      std::function<void()> unwatch);

  /// Keeps a connection whose answer was read whole for another request.
  void Keep(BackendServerId server,
            std::unique_ptr<BackendConnection> connection,
            TimePoint now);

  /// Closes the idle connections to a server that is no longer listed.
  void Drop(BackendServerId server) { pool_.Drop(server); }
  void Prune(TimePoint now) { pool_.Prune(now); }

  /// @return time by which an answer that is not complete is given up.
  [[nodiscard]] static TimePoint AnswerDeadline(const GatewayRequest& request);

 private:
  struct Attempt;

  [[nodiscard]] asio::awaitable<void> Connect(Attempt& attempt,
                                              const BackendEntry& entry);
  [[nodiscard]] asio::awaitable<void> Send(Attempt& attempt,
                                           const RequestHead& head,
                                           const BackendEntry& entry);
  [[nodiscard]] asio::awaitable<void> ReadAnswer(Attempt& attempt);
  [[nodiscard]] asio::awaitable<void> ReadBody(Attempt& attempt);
  [[nodiscard]] asio::awaitable<bool> SkipBody(Attempt& attempt);
  void OnFailure(Attempt& attempt, ExchangeFailure failure);
  void Judge(Attempt& attempt);

  GatewayContext& context_;
  asio::io_context& io_;
  TimeoutSweeper& sweeper_;
  BackendPool pool_;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_GATEWAY_BACKEND_CALL_H_
