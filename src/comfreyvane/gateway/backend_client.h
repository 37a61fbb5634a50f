/// @file
/// Sends requests to backend servers.
#ifndef COMFREYVANE_GATEWAY_BACKEND_CLIENT_H_
#define COMFREYVANE_GATEWAY_BACKEND_CLIENT_H_

#include <boost/asio/io_context.hpp>
#include <boost/beast/http/message.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>

#include "comfreyvane/edge/carrier.h"
#include "comfreyvane/gateway/call_result.h"
#include "comfreyvane/gateway/gateway_context.h"
#include "comfreyvane/gateway/gateway_request.h"
#include "comfreyvane/net/async.h"
#include "comfreyvane/net/backend_pool.h"

namespace comfreyvane {

/// Sends requests to backend servers over pooled connections and reads their
/// answers.
class BackendClient {
 public:
  using RequestHead = boost::beast::http::request_header<>;

  BackendClient(GatewayContext& context,
                asio::io_context& io,
                TimeoutSweeper& sweeper);

  /// Sends a request to a backend server once. An answer of up to 256 KiB is
  /// read completely, so that a truncated one can be retried at another server.
  /// The rest of a larger answer stays on the connection.
  /// @param head head of the caller's request.
  /// @param watch called with a function that cancels the attempt.
  /// @param unwatch called once the attempt can no longer be cancelled.
  [[nodiscard]] asio::awaitable<CallResult> Call(
      const GatewayRequest& request,
      const RequestHead& head,
      BackendServerId server,
      std::function<void(std::function<void()>)> watch,
      std::function<void()> unwatch);

  /// Sends a request to a host that carries it to a backend server. The request
  /// has a mark, by which the carrier accepts it once, and the answer a
  /// verdict.
  [[nodiscard]] asio::awaitable<CallResult> CallCarrier(
      const GatewayRequest& request,
      const RequestHead& head,
      const Carrier& carrier,
      std::function<void(std::function<void()>)> watch,
      std::function<void()> unwatch);

  /// Ends attempts of idempotent requests at servers that this host does not
  /// reach any more, so that they are retried. Those that may still run are
  /// left alone, and all of them once this host is leaving.
  void AbandonUnreachable(TimePoint now);

  /// Returns a connection to the pool if it can be reused. Its answer must have
  /// been read completely.
  void Recycle(BackendServerId server,
               std::unique_ptr<BackendConnection> connection,
               TimePoint now);

  /// Returns a connection to a carrier if it can be reused.
  void RecycleCarrier(HostId carrier,
                      std::unique_ptr<BackendConnection> connection,
                      TimePoint now);

  /// Closes the idle connections to a server that is no longer listed.
  void CloseIdle(BackendServerId server) { pool_.Drop(server); }
  /// Closes the connections that have been idle for too long.
  void PruneIdle(TimePoint now) {
    pool_.Prune(now);
    carrier_pool_.Prune(now);
  }

  /// @return time at which reading an incomplete answer is aborted.
  [[nodiscard]] static TimePoint AnswerDeadline(const GatewayRequest& request);

 private:
  struct Attempt;

  /// Opens a connection for the attempt; it has none afterwards if that fails.
  [[nodiscard]] asio::awaitable<void> Connect(Attempt& attempt,
                                              std::string address,
                                              std::uint16_t port);
  /// Sends the request to a server, over a new connection if none is idle.
  [[nodiscard]] asio::awaitable<void> SendToServer(Attempt& attempt,
                                                   const RequestHead& head,
                                                   BackendEntry entry);
  [[nodiscard]] asio::awaitable<void> SendToCarrier(Attempt& attempt,
                                                    const RequestHead& head,
                                                    const Carrier& carrier);
  /// Ends an attempt that has not been sent, since what it was decided on has
  /// changed.
  void Withdraw(Attempt& attempt);
  /// Sends a request and reads the answer.
  [[nodiscard]] asio::awaitable<void> Send(Attempt& attempt, RequestHead head);
  /// Adds the mark and its authentication code to the head for a carrier.
  void AddMark(Attempt& attempt, const Carrier& carrier, RequestHead& head);
  /// Reports to PathMonitor how an attempt at a server ended.
  void RecordPath(const Attempt& attempt, BackendServerId server);
  /// @return the result of an attempt that has ended.
  [[nodiscard]] static CallResult Finish(Attempt& attempt);
  [[nodiscard]] asio::awaitable<void> ReadAnswer(Attempt& attempt);
  [[nodiscard]] asio::awaitable<void> ReadBody(Attempt& attempt);
  /// Discards the body of an answer to an earlier request.
  /// @return whether the connection can still be used.
  [[nodiscard]] asio::awaitable<bool> SkipBody(Attempt& attempt);
  /// Closes the connection and sets the result of a failed exchange.
  void OnFailure(Attempt& attempt, ExchangeFailure failure);
  /// Sets the run state and outcome from the status and fields of an answer.
  void Classify(Attempt& attempt);
  /// The same for an answer of a carrier, from its verdict.
  void ClassifyCarried(Attempt& attempt);
  /// Sets the outcome of a server's answer.
  void ClassifyAnswer(Attempt& attempt);

  GatewayContext& context_;
  asio::io_context& io_;
  TimeoutSweeper& sweeper_;
  BackendPool pool_;
  BackendPool carrier_pool_;    ///< Connections to carriers, by host.
  std::set<Attempt*> running_;  ///< Attempts at servers.
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_GATEWAY_BACKEND_CLIENT_H_
