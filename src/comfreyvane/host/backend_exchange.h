/// @file
/// One attempt at a backend server.
#ifndef COMFREYVANE_HOST_BACKEND_EXCHANGE_H_
#define COMFREYVANE_HOST_BACKEND_EXCHANGE_H_

#include <boost/asio/io_context.hpp>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <utility>
#include <vector>

#include "comfreyvane/host/connection_watch.h"
#include "comfreyvane/host/forwarded_head.h"
#include "comfreyvane/host/host_context.h"
#include "comfreyvane/host/request_gate.h"
#include "comfreyvane/host/request_run.h"
#include "comfreyvane/net/backend_connection.h"
#include "comfreyvane/net/backend_pool.h"
#include "comfreyvane/net/clock.h"
#include "comfreyvane/route/attempt_outcome.h"
#include "comfreyvane/route/request_outcome.h"

namespace comfreyvane {

/// How an attempt ended.
struct BackendResult {
  bool ended = false;  ///< The request is over: answered, or `refusal`.
  std::optional<Refusal> refusal = std::nullopt;
  RequestOutcome evidence = RequestOutcome::kCancelled;     ///< On the server.
  AttemptOutcome outcome = AttemptOutcome::kConnectFailed;  ///< If not ended.
  bool sent = false;    ///< A byte of it may have reached the server.
  bool pooled = false;  ///< Went over a connection used before.
};

/// @return the refusal for a caller that failed in the middle of its request.
[[nodiscard]] Refusal RefusalOfCaller(ExchangeFailure failure,
                                      RunState run_state);

/// Marks a request as running at a server while it lives.
class RunningMark {
 public:
  RunningMark(CrashDesk& crashes, BackendServerId server, RequestId request)
      : crashes_(crashes), server_(server), request_(request) {
    crashes_.OnStarted(server_, request_);
  }
  ~RunningMark() { crashes_.OnEnded(server_, request_); }
  RunningMark(const RunningMark&) = delete;
  RunningMark& operator=(const RunningMark&) = delete;

 private:
  CrashDesk& crashes_;
  BackendServerId server_;
  RequestId request_;
};

/// Marks a use of a connection while it lives.
class WatchedUse {
 public:
  WatchedUse(ConnectionWatch& watch,
             BackendConnection& connection,
             bool idempotent)
      : watch_(watch), id_(connection.id()) {
    watch_.OnUse(id_, connection, idempotent, MonotonicNow());
  }
  ~WatchedUse() {
    watch_.OnEnded(id_, kept_, MonotonicNow());
    if (!kept_)
      watch_.OnClosed(id_);
  }
  WatchedUse(const WatchedUse&) = delete;
  WatchedUse& operator=(const WatchedUse&) = delete;

  /// Says that the answer came whole and the connection will carry others.
  void Keep() { kept_ = true; }

 private:
  ConnectionWatch& watch_;
  ConnectionId id_;
  bool kept_ = false;
};

/// Sends requests to backend servers and passes answers back. Used by one
/// thread.
class BackendExchange {
 public:
  BackendExchange(HostContext& context,
                  RequestGate& gate,
                  asio::io_context& io,
                  TimeoutSweeper& sweeper,
                  BackendPool& pool,
                  ConnectionWatch& watch);

  /// Tries a server once.
  template <typename Exchange>
  [[nodiscard]] asio::awaitable<BackendResult> Try(Exchange& exchange,
                                                   const RequestRun& run,
                                                   BackendServerId server);

  /// Waits before another attempt.
  [[nodiscard]] asio::awaitable<void> Pause(Duration backoff);

 private:
  using ConnectionPtr = std::unique_ptr<BackendConnection>;

  static constexpr unsigned kFirstServerError = 500;

  /// Bytes of an answer that are held at a time.
  static constexpr std::size_t kPartBytes = 16 * 1024;

  [[nodiscard]] ConnectionPtr TakePooled(const RequestRun& run,
                                         BackendServerId server);
  [[nodiscard]] asio::awaitable<ConnectionPtr> Connect(const RequestRun& run,
                                                       BackendServerId server);
  template <typename Exchange>
  asio::awaitable<std::optional<BackendResult>> Send(
      Exchange& exchange,
      const RequestRun& run,
      BackendServerId server,
      BackendConnection& connection,
      StreamedMessage<true>& message);
  template <typename Exchange>
  asio::awaitable<BackendResult> Relay(Exchange& exchange,
                                       const RequestRun& run,
                                       BackendServerId server,
                                       BackendConnection& connection);
  template <typename Exchange>
  [[nodiscard]] boost::beast::http::request_header<> HeadOf(
      Exchange& exchange,
      const RequestRun& run) const;

  template <typename Exchange>
  [[nodiscard]] BackendResult BrokenAnswer(Exchange& exchange,
                                           const RequestRun& run,
                                           bool nothing_passed);
  [[nodiscard]] static BackendResult CallerGone();
  [[nodiscard]] BackendResult Failed(const RequestRun& run,
                                     BackendServerId server,
                                     ExchangeFailure failure,
                                     bool pooled,
                                     TimePoint sent_at);
  [[nodiscard]] static bool IsShed(
      const boost::beast::http::response_header<>& head);

  HostContext& context_;
  RequestGate& gate_;
  asio::io_context& io_;
  TimeoutSweeper& sweeper_;
  BackendPool& pool_;
  ConnectionWatch& watch_;
};

template <typename Exchange>
boost::beast::http::request_header<> BackendExchange::HeadOf(
    Exchange& exchange,
    const RequestRun& run) const {
  error_code ignored;
  const std::string address =
      exchange.socket().remote_endpoint(ignored).address().to_string();
  const std::string_view workspace =
      run.workspace == nullptr ? std::string_view() : run.workspace->name;
  return HeadForBackend(
      exchange.head(), {exchange.content_length(), exchange.chunked()},
      run.terms.key,
      {run.id_text, workspace, address, run.deadline - MonotonicNow()});
}

template <typename Exchange>
asio::awaitable<BackendResult> BackendExchange::Try(Exchange& exchange,
                                                    const RequestRun& run,
                                                    BackendServerId server) {
  ConnectionPtr connection = TakePooled(run, server);
  const bool pooled = connection != nullptr;
  if (!pooled)
    connection = co_await Connect(run, server);
  if (!connection) {
    co_return BackendResult{.evidence = RequestOutcome::kConnectFailed,
                            .outcome = AttemptOutcome::kConnectFailed};
  }
  const RunningMark mark(context_.crashes, server, run.fingerprint);
  WatchedUse use(watch_, *connection, run.terms.idempotent);
  StreamedMessage<true> message(HeadOf(exchange, run));
  const TimePoint sent_at = MonotonicNow();
  if (auto result =
          co_await Send(exchange, run, server, *connection, message)) {
    result->sent = message.bytes_written() > 0;
    result->pooled = pooled;
    co_return *result;
  }
  bool caller_gone = false;
  exchange.WatchForClose([&caller_gone, &connection] {
    caller_gone = true;
    connection->Cancel();
  });
  const bool to_head =
      exchange.head().method() == boost::beast::http::verb::head;
  const ExchangeFailure failure =
      co_await connection->ReadHead(to_head, run.deadline);
  exchange.StopWatching();
  if (caller_gone)
    co_return CallerGone();
  if (watch_.TakeSilent(ConnectionId(connection->id()))) {
    co_return BackendResult{.evidence = RequestOutcome::kTimeout,
                            .outcome = AttemptOutcome::kSilent,
                            .sent = true,
                            .pooled = pooled};
  }
  if (failure != ExchangeFailure::kNone)
    co_return Failed(run, server, failure, pooled, sent_at);
  watch_.OnProgress(ConnectionId(connection->id()), MonotonicNow());
  if (IsShed(connection->answer().get().base())) {
    co_return BackendResult{.evidence = RequestOutcome::kShed,
                            .outcome = AttemptOutcome::kShed,
                            .sent = true,
                            .pooled = pooled};
  }
  const BackendResult result =
      co_await Relay(exchange, run, server, *connection);
  if (connection->reusable()) {
    use.Keep();
    pool_.Give(server, std::move(connection), MonotonicNow());
  }
  co_return result;
}

template <typename Exchange>
asio::awaitable<std::optional<BackendResult>> BackendExchange::Send(
    Exchange& exchange,
    const RequestRun& run,
    BackendServerId server,
    BackendConnection& connection,
    StreamedMessage<true>& message) {
  const TimePoint begun = MonotonicNow();
  ExchangeFailure failure = co_await connection.Write(
      message, run.first_part, run.body_complete, run.deadline);
  bool complete = run.body_complete;
  std::vector<char> part(complete ? 0 : kPartBytes);
  while (failure == ExchangeFailure::kNone && !complete) {
    const BodyChunk chunk = co_await exchange.ReadBody(part);
    if (chunk.failure != ExchangeFailure::kNone) {
      co_return BackendResult{
          .ended = true,
          .refusal = RefusalOfCaller(chunk.failure, RunState::kUnknown)};
    }
    complete = chunk.last;
    failure = co_await connection.Write(
        message, std::span(part).first(chunk.size), complete, run.deadline);
  }
  if (failure == ExchangeFailure::kNone)
    co_return std::nullopt;
  if (run.body_complete)
    co_return Failed(run, server, failure, connection.used_before(), begun);
  // What was streamed is not held, so there is no other attempt.
  const RefusalReason reason = failure == ExchangeFailure::kTimeout
                                   ? RefusalReason::kBackendTimeout
                                   : RefusalReason::kBackendClosed;
  co_return BackendResult{.ended = true,
                          .refusal = Refusal{reason, RunState::kUnknown, {}},
                          .evidence = RequestOutcome::kFailed};
}

template <typename Exchange>
asio::awaitable<BackendResult> BackendExchange::Relay(
    Exchange& exchange,
    const RequestRun& run,
    BackendServerId server,
    BackendConnection& connection) {
  auto& answer = connection.answer();
  const unsigned status = answer.get().result_int();
  gate_.EndRecord(run, {RunState::kRan, static_cast<std::uint16_t>(status)},
                  MonotonicNow());
  context_.crashes.OnCompleted(run.fingerprint, MonotonicNow());
  const auto length = answer.content_length();
  const BackendServer* const target = run.configuration->Find(server);
  StreamedMessage<false> message(HeadForCaller(
      answer.get().base(),
      {length ? std::optional<std::uint64_t>(*length) : std::nullopt,
       answer.chunked()},
      {run.id_text, context_.settings.name,
       target == nullptr ? std::string_view() : target->name,
       exchange.keep_alive(), exchange.head().version()}));
  BackendResult result{.ended = true, .evidence = RequestOutcome::kOk};
  if (status >= kFirstServerError)
    result.evidence = RequestOutcome::kFailed;
  std::vector<char> part(answer.is_done() ? 0 : kPartBytes);
  bool complete = answer.is_done();
  bool first = true;
  while (first || !complete) {
    std::size_t size = 0;
    if (!complete) {
      const BodyChunk chunk = co_await connection.ReadBody(part, run.deadline);
      if (chunk.failure != ExchangeFailure::kNone) {
        connection.Close();
        co_return BrokenAnswer(exchange, run, first);
      }
      size = chunk.size;
      complete = chunk.last;
    }
    first = false;
    const ExchangeFailure failure = co_await exchange.WritePart(
        message, std::span(part).first(size), complete);
    if (failure != ExchangeFailure::kNone) {
      connection.Close();
      exchange.Abort();
      context_.metrics.Count(CounterName::kCancelledAttempts);
      co_return CallerGone();
    }
    context_.metrics.Count(CounterName::kBytesToCallers, size);
  }
  co_return result;
}

template <typename Exchange>
BackendResult BackendExchange::BrokenAnswer(Exchange& exchange,
                                            const RequestRun& run,
                                            bool nothing_passed) {
  BackendResult result{.ended = true, .evidence = RequestOutcome::kFailed};
  const bool late = MonotonicNow() >= run.deadline;
  result.refusal = Refusal{
      late ? RefusalReason::kDeadlinePassed : RefusalReason::kBackendClosed,
      RunState::kUnknown,
      {}};
  // The head says that a body follows; only a reset tells that it does not.
  if (!nothing_passed) {
    context_.metrics.Count(CounterName::kTruncatedAnswers);
    exchange.Abort();
  }
  return result;
}

}  // namespace comfreyvane

#endif  // COMFREYVANE_HOST_BACKEND_EXCHANGE_H_
