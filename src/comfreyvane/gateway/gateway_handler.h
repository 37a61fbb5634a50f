/// @file
/// Serves callers' requests.
#ifndef COMFREYVANE_GATEWAY_GATEWAY_HANDLER_H_
#define COMFREYVANE_GATEWAY_GATEWAY_HANDLER_H_

#include <algorithm>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <functional>
#include <optional>
#include <string>
#include <utility>

#include "comfreyvane/base/refusal.h"
#include "comfreyvane/gateway/backend_call.h"
#include "comfreyvane/gateway/gateway_context.h"
#include "comfreyvane/gateway/gateway_dispatcher.h"
#include "comfreyvane/gateway/gateway_request.h"
#include "comfreyvane/gateway/peer_link.h"
#include "comfreyvane/net/clock.h"

namespace comfreyvane {

/// Serves callers' requests: checks, waits for a backend server, tries it, and
/// passes its answer on.
class GatewayHandler {
 public:
  using Answer = boost::beast::http::response<boost::beast::http::string_body>;

  GatewayHandler(GatewayContext& context,
                 asio::io_context& io,
                 GatewayDispatcher& dispatcher,
                 BackendCall& backends,
                 PeerLink& peers)
      : context_(context),
        io_(io),
        dispatcher_(dispatcher),
        backends_(backends),
        peers_(peers) {}

  /// Serves one request whose head was read.
  /// @return whether the connection may carry another.
  template <typename Exchange>
  [[nodiscard]] asio::awaitable<bool> Handle(Exchange& exchange);

  /// Answers a head that cannot be served.
  template <typename Exchange>
  [[nodiscard]] asio::awaitable<void> Refuse(Exchange& exchange,
                                             RefusalReason reason);

 private:
  /// Bytes of a request body that are read at a time.
  static constexpr std::size_t kPartBytes = 16 * 1024;

  template <typename Exchange>
  asio::awaitable<std::optional<Refusal>> Serve(Exchange& exchange,
                                                GatewayRequest& request);
  template <typename Exchange>
  asio::awaitable<std::optional<Refusal>> ReadBody(Exchange& exchange,
                                                   GatewayRequest& request);
  template <typename Exchange>
  asio::awaitable<std::optional<Refusal>> RunAttempts(Exchange& exchange,
                                                      GatewayRequest& request);
  template <typename Exchange>
  asio::awaitable<std::optional<Refusal>> PassOn(Exchange& exchange,
                                                 const GatewayRequest& request,
                                                 BackendServerId server,
                                                 CallResult result);
  template <typename Exchange>
  asio::awaitable<void> PassRest(Exchange& exchange,
                                 const GatewayRequest& request,
                                 CallResult& result);

  [[nodiscard]] GatewayRequest Start(
      const boost::beast::http::request_header<>& head,
      TimePoint now);
  [[nodiscard]] std::optional<Refusal> Identify(
      const boost::beast::http::request_header<>& head,
      GatewayRequest& request);
  void SetPick(const boost::beast::http::request_header<>& head,
               GatewayRequest& request);
  void SetFingerprint(const boost::beast::http::request_header<>& head,
                      GatewayRequest& request) const;
  /// Takes a token of the workspace's limit; waits a moment for one from other
  /// hosts.
  [[nodiscard]] asio::awaitable<bool> TakeToken(const GatewayRequest& request);
  [[nodiscard]] bool HoldBody(std::size_t bytes);
  /// Decides whether another server is tried, and counts it if so.
  [[nodiscard]] bool TryAgain(const GatewayRequest& request,
                              const CallResult& result,
                              std::uint32_t connect_failures,
                              TimePoint now);
  void NoteResult(const GatewayRequest& request,
                  const BackendChoice& choice,
                  const CallResult& result,
                  Duration latency,
                  TimePoint now);
  void NoteRefusal(const GatewayRequest& request,
                   const Refusal& refusal,
                   TimePoint now);
  void NoteAnswered(const GatewayRequest& request,
                    unsigned status,
                    TimePoint now);
  [[nodiscard]] Answer RefusalAnswer(const GatewayRequest& request,
                                     const Refusal& refusal,
                                     unsigned version,
                                     bool keep_alive) const;
  [[nodiscard]] static Answer AnswerOf(const CallResult& result,
                                       unsigned version,
                                       bool keep_alive);

  GatewayContext& context_;
  asio::io_context& io_;
  GatewayDispatcher& dispatcher_;
  BackendCall& backends_;
  PeerLink& peers_;
};

template <typename Exchange>
asio::awaitable<bool> GatewayHandler::Handle(Exchange& exchange) {
  GatewayRequest request = Start(exchange.head(), MonotonicNow());
  ++context_.running;
  const auto refusal = co_await Serve(exchange, request);
  context_.body_bytes_held -= request.body.size();
  bool go_on = exchange.keep_alive() && exchange.body_done();
  if (refusal) {
    NoteRefusal(request, *refusal, MonotonicNow());
    if (refusal->reason == RefusalReason::kCallerGone ||
        !exchange.socket().is_open()) {
      exchange.Abort();
      go_on = false;
    } else {
      Answer answer =
          RefusalAnswer(request, *refusal, exchange.head().version(), go_on);
      const ExchangeFailure failure = co_await exchange.WriteAnswer(answer);
      go_on = go_on && failure == ExchangeFailure::kNone;
    }
  }
  --context_.running;
  co_return go_on&& exchange.socket().is_open();
}

template <typename Exchange>
asio::awaitable<void> GatewayHandler::Refuse(Exchange& exchange,
                                             RefusalReason reason) {
  GatewayRequest request;
  request.started = MonotonicNow();
  const Refusal refusal{reason, RunState::kNotRun, Duration::zero()};
  NoteRefusal(request, refusal, request.started);
  constexpr unsigned kHttp11 = 11;
  Answer answer = RefusalAnswer(request, refusal, kHttp11, false);
  co_await exchange.WriteAnswer(answer);
}

template <typename Exchange>
asio::awaitable<std::optional<Refusal>> GatewayHandler::Serve(
    Exchange& exchange,
    GatewayRequest& request) {
  const auto refused = Identify(exchange.head(), request);
  if (auto refusal = co_await ReadBody(exchange, request))
    co_return refusal;
  if (refused)
    co_return refused;
  SetFingerprint(exchange.head(), request);
  const TimePoint now = MonotonicNow();
  if (!context_.poison.MayRun(request.fingerprint, now)) {
    co_return Refusal{RefusalReason::kCrashContained, RunState::kNotRun,
                      Duration::zero()};
  }
  if (!co_await TakeToken(request)) {
    co_return Refusal{RefusalReason::kRateExceeded, RunState::kNotRun,
                      context_.limiter.TimeUntilToken(request.workspace_id(),
                                                      MonotonicNow())};
  }
  SetPick(exchange.head(), request);
  auto refusal = co_await RunAttempts(exchange, request);
  if (refusal && refusal->run_state == RunState::kNotRun)
    context_.limiter.Return(request.workspace_id(), MonotonicNow());
  co_return refusal;
}

template <typename Exchange>
asio::awaitable<std::optional<Refusal>> GatewayHandler::ReadBody(
    Exchange& exchange,
    GatewayRequest& request) {
  const bool expects_continue =
      exchange.head().count(boost::beast::http::field::expect) > 0;
  if (!exchange.body_done() && expects_continue) {
    if (co_await exchange.WriteContinue() != ExchangeFailure::kNone)
      co_return Refusal{RefusalReason::kCallerGone, RunState::kNotRun, {}};
  }
  while (!exchange.body_done()) {
    const std::size_t held = request.body.size();
    if (!HoldBody(kPartBytes)) {
      co_return Refusal{RefusalReason::kQueueFull, RunState::kNotRun,
                        std::chrono::seconds(1)};
    }
    request.body.resize(held + kPartBytes);
    const BodyChunk chunk =
        co_await exchange.ReadBody(std::span(request.body).subspan(held));
    request.body.resize(held + chunk.size);
    context_.body_bytes_held -= kPartBytes - chunk.size;
    if (chunk.failure == ExchangeFailure::kTooLarge)
      co_return Refusal{RefusalReason::kBodyTooLarge, RunState::kNotRun, {}};
    if (chunk.failure == ExchangeFailure::kTimeout)
      co_return Refusal{RefusalReason::kSlowCaller, RunState::kNotRun, {}};
    if (chunk.failure == ExchangeFailure::kMalformed)
      co_return Refusal{
          RefusalReason::kMalformedRequest, RunState::kNotRun, {}};
    if (chunk.failure != ExchangeFailure::kNone)
      co_return Refusal{RefusalReason::kCallerGone, RunState::kNotRun, {}};
  }
  co_return std::nullopt;
}

template <typename Exchange>
asio::awaitable<std::optional<Refusal>> GatewayHandler::RunAttempts(
    Exchange& exchange,
    GatewayRequest& request) {
  const auto watch = [&exchange](std::function<void()> on_closed) {
    exchange.WatchForClose(std::move(on_closed));
  };
  const auto unwatch = [&exchange] { exchange.StopWatching(); };
  std::uint32_t connect_failures = 0;
  RunState run_state = RunState::kNotRun;
  while (true) {
    const auto grant = co_await dispatcher_.Acquire(request, watch, unwatch);
    if (const auto* refusal = std::get_if<Refusal>(&grant)) {
      co_return Refusal{refusal->reason, run_state, refusal->retry_after};
    }
    const auto choice = std::get<BackendChoice>(grant);
    const TimePoint begun = MonotonicNow();
    CallResult result = co_await backends_.Try(request, exchange.head(),
                                               choice.server, watch, unwatch);
    const TimePoint ended = MonotonicNow();
    NoteResult(request, choice, result, ended - begun, ended);
    dispatcher_.Release(request, choice, result.outcome, ended - begun,
                        result.body.size(), ended);
    if (result.caller_gone)
      co_return Refusal{RefusalReason::kCallerGone, result.run_state, {}};
    if (result.outcome == RequestOutcome::kConnectFailed)
      ++connect_failures;
    else
      ++request.attempts;
    if (result.run_state != RunState::kNotRun)
      run_state = RunState::kUnknown;
    const bool answered = result.head && result.run_state == RunState::kRan;
    const bool wants_more =
        !answered || (request.route->idempotent &&
                      result.outcome == RequestOutcome::kFailed);
    if (wants_more && TryAgain(request, result, connect_failures, ended)) {
      request.pick.excluded.push_back(choice.server);
      if (result.complete)
        backends_.Keep(choice.server, std::move(result.connection), ended);
      continue;
    }
    if (answered) {
      co_return co_await PassOn(exchange, request, choice.server,
                                std::move(result));
    }
    co_return Refusal{result.reason, run_state, Duration::zero()};
  }
}

template <typename Exchange>
asio::awaitable<std::optional<Refusal>> GatewayHandler::PassOn(
    Exchange& exchange,
    const GatewayRequest& request,
    BackendServerId server,
    CallResult result) {
  const unsigned status = result.head->result_int();
  constexpr unsigned kNotRunStatuses[] = {408, 421, 429, 503};
  if (std::ranges::find(kNotRunStatuses, status) != std::end(kNotRunStatuses)) {
    // To a caller these statuses promise that the request has not run.
    if (result.complete)
      backends_.Keep(server, std::move(result.connection), MonotonicNow());
    co_return Refusal{RefusalReason::kBackendMalformed, RunState::kUnknown, {}};
  }
  if (!result.complete) {
    co_await PassRest(exchange, request, result);
    co_return std::nullopt;
  }
  Answer answer =
      AnswerOf(result, exchange.head().version(), exchange.keep_alive());
  if (request.to_head && result.head->count("Content-Length") > 0)
    answer.set(boost::beast::http::field::content_length,
               result.head->at("Content-Length"));
  backends_.Keep(server, std::move(result.connection), MonotonicNow());
  const ExchangeFailure failure = co_await exchange.WriteAnswer(answer);
  NoteAnswered(request, status, MonotonicNow());
  if (failure != ExchangeFailure::kNone)
    exchange.Abort();
  co_return std::nullopt;
}

template <typename Exchange>
asio::awaitable<void> GatewayHandler::PassRest(Exchange& exchange,
                                               const GatewayRequest& request,
                                               CallResult& result) {
  Answer whole =
      AnswerOf(result, exchange.head().version(), exchange.keep_alive());
  const auto length = result.connection->answer().content_length();
  if (length)
    whole.content_length(*length);
  else
    whole.chunked(true);
  StreamedMessage<false> message(std::move(whole.base()));
  std::string part = std::move(result.body);
  bool last = false;
  ExchangeFailure failure = co_await exchange.WritePart(message, part, false);
  while (failure == ExchangeFailure::kNone && !last) {
    part.resize(kPartBytes);
    const BodyChunk chunk = co_await result.connection->ReadBody(
        part, BackendCall::AnswerDeadline(request));
    failure = chunk.failure;
    last = chunk.last;
    if (failure == ExchangeFailure::kNone) {
      failure = co_await exchange.WritePart(
          message, std::span(part).first(chunk.size), last);
    }
  }
  if (failure != ExchangeFailure::kNone) {
    context_.metrics.Count(CounterName::kTruncatedAnswers);
    exchange.Abort();
  }
  NoteAnswered(request, result.head->result_int(), MonotonicNow());
}

}  // namespace comfreyvane

#endif  // COMFREYVANE_GATEWAY_GATEWAY_HANDLER_H_
