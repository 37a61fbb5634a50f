/// @file
/// Serves callers' requests.
#ifndef COMFREYVANE_GATEWAY_GATEWAY_HANDLER_H_
#define COMFREYVANE_GATEWAY_GATEWAY_HANDLER_H_

#include <algorithm>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "comfreyvane/base/refusal.h"
#include "comfreyvane/gateway/backend_client.h"
#include "comfreyvane/gateway/carried_guard.h"
#include "comfreyvane/gateway/carried_verdict.h"
#include "comfreyvane/gateway/gateway_context.h"
#include "comfreyvane/gateway/gateway_dispatcher.h"
#include "comfreyvane/gateway/gateway_request.h"
#include "comfreyvane/gateway/peer_link.h"
#include "comfreyvane/net/clock.h"

namespace comfreyvane {

/// Serves callers' requests: checks them, waits for backend servers, sends the
/// requests there, retries if possible, and forwards the answers.
class GatewayHandler {
 public:
  using Answer = boost::beast::http::response<boost::beast::http::string_body>;

  GatewayHandler(GatewayContext& context,
                 asio::io_context& io,
                 GatewayDispatcher& dispatcher,
                 BackendClient& backend_client,
                 PeerLink& peers)
      : context_(context),
        io_(io),
        dispatcher_(dispatcher),
        backend_client_(backend_client),
        peers_(peers),
        carried_guard_(context.settings.name, context.incarnation) {}

  /// Serves a request whose head has been read.
  /// @return whether the connection can be kept alive.
  template <typename Exchange>
  [[nodiscard]] asio::awaitable<bool> Handle(Exchange& exchange);

  /// Serves a request that another host has sent since it does not reach the
  /// backend servers. The limit of its workspace has been checked there.
  /// @return whether the connection can be kept alive.
  template <typename Exchange>
  [[nodiscard]] asio::awaitable<bool> HandleCarried(Exchange& exchange);

  /// Refuses waiting requests that could not end before this host stops.
  void RefuseHopeless(TimePoint now);
  /// Answers all requests that still run or wait, as this host is about to
  /// exit. Answers that are being written go on.
  void GiveUp();

  /// Refuses a request whose head could not be read or is not acceptable.
  template <typename Exchange>
  [[nodiscard]] asio::awaitable<void> Refuse(Exchange& exchange,
                                             RefusalReason reason);

 private:
  /// Bytes of a body that are read at a time.
  static constexpr std::size_t kChunkBytes = 16 * 1024;
  /// Time for the body of a request that has no deadline, since its route is
  /// unknown.
  static constexpr Duration kMaxBodyTime = std::chrono::seconds(10);
  static constexpr unsigned kHttp11 = 11;

  /// An attempt that has ended, at a server or through a carrier.
  struct AttemptEnd {
    CallResult result;
    std::optional<BackendServerId> server{};
    std::optional<HostId> carrier{};
  };

  /// @return a function that calls another if the caller closes or the request
  ///     is given up.
  template <typename Exchange>
  [[nodiscard]] static auto WatchOf(Exchange& exchange,
                                    GatewayRequest& request) {
    return [&exchange, &request](std::function<void()> cancel) {
      request.cancel = cancel;
      exchange.WatchForClose(std::move(cancel));
    };
  }
  /// @return a function that ends the watch.
  template <typename Exchange>
  [[nodiscard]] static auto UnwatchOf(Exchange& exchange,
                                      GatewayRequest& request) {
    return [&exchange, &request] {
      request.cancel = nullptr;
      exchange.StopWatching();
    };
  }
  /// Waits for a server or a carrier. A request that could not end before this
  /// host stops gets none.
  template <typename Exchange>
  asio::awaitable<GatewayDispatcher::Grant> Acquire(Exchange& exchange,
                                                    GatewayRequest& request);

  /// Serves a request and writes the answer or the refusal.
  template <typename Exchange>
  asio::awaitable<bool> Respond(Exchange& exchange, GatewayRequest& request);
  template <typename Exchange>
  asio::awaitable<std::optional<Refusal>> Serve(Exchange& exchange,
                                                GatewayRequest& request);
  /// Decides whether a carried request may run. If its mark is authentic, the
  /// answer gets a verdict.
  template <typename Exchange>
  [[nodiscard]] std::optional<Refusal> AdmitCarried(Exchange& exchange,
                                                    GatewayRequest& request);
  template <typename Exchange>
  asio::awaitable<std::optional<Refusal>> ReadBody(Exchange& exchange,
                                                   GatewayRequest& request);
  template <typename Exchange>
  asio::awaitable<std::optional<Refusal>> RunAttempts(Exchange& exchange,
                                                      GatewayRequest& request);
  template <typename Exchange>
  asio::awaitable<AttemptEnd> RunAtServer(Exchange& exchange,
                                          GatewayRequest& request,
                                          const BackendChoice& choice);
  template <typename Exchange>
  asio::awaitable<AttemptEnd> RunThroughCarrier(Exchange& exchange,
                                                GatewayRequest& request,
                                                const Carrier& carrier);
  /// Forwards an answer to the caller, unless its status would wrongly promise
  /// that the request has not run.
  template <typename Exchange>
  asio::awaitable<std::optional<Refusal>> ForwardAnswer(
      Exchange& exchange,
      const GatewayRequest& request,
      AttemptEnd end);
  /// Forwards an answer whose body has not been read completely.
  template <typename Exchange>
  asio::awaitable<void> StreamAnswer(Exchange& exchange,
                                     const GatewayRequest& request,
                                     CallResult& result);

  /// Counts a request and reads its identifier, path and caller timeout.
  [[nodiscard]] GatewayRequest Start(
      const boost::beast::http::request_header<>& head,
      TimePoint now);
  /// Sets what the mark of a carried request says. Without a valid mark, the
  /// request is not accepted later.
  static void SetMark(const boost::beast::http::request_header<>& head,
                      GatewayRequest& request);
  /// @return whether the origin of a request that is bound to regions has a
  ///     newer configuration than this host.
  [[nodiscard]] bool IsOlderThanOrigin(
      const boost::beast::http::request_header<>& head) const;
  /// Checks the mark of a carried request, whose body has been read, and logs
  /// why it is not accepted.
  [[nodiscard]] CarriedAdmission CheckMark(
      const boost::beast::http::request_header<>& head,
      GatewayRequest& request);
  /// Sets configuration, route, workspace, deadline and urgency of a request.
  /// @return a refusal if the route is unknown or the key is not accepted.
  [[nodiscard]] std::optional<Refusal> ResolveRoute(
      const boost::beast::http::request_header<>& head,
      GatewayRequest& request);
  /// Sets the criteria for the choice of a backend server.
  void SetPickRequest(const boost::beast::http::request_header<>& head,
                      GatewayRequest& request);
  /// Sets the regions where a request may run by its route and its workspace.
  static void SetRegions(GatewayRequest& request);
  /// Sets the service of a request, one of its route's. Keeps the present one
  /// if the route still has it.
  void SetService(GatewayRequest& request);
  /// Checks a request against the configuration in force before each attempt.
  /// @return a refusal if it may not be sent any more.
  [[nodiscard]] std::optional<Refusal> UpdateTerms(
      const boost::beast::http::request_header<>& head,
      GatewayRequest& request,
      TimePoint now);
  void SetFingerprint(const boost::beast::http::request_header<>& head,
                      GatewayRequest& request) const;
  [[nodiscard]] RetryBudget& RetryBudgetOf(ServiceId service);
  /// Releases the grant if the configuration has changed meanwhile.
  /// @return whether the granted attempt may begin.
  [[nodiscard]] bool KeepGrant(const GatewayRequest& request,
                               const GatewayDispatcher::Grant& grant,
                               TimePoint now);
  /// Takes a token from the workspace's limit. If none is left, requests some
  /// from other hosts and waits briefly for them.
  /// @return false if the request exceeds the limit.
  [[nodiscard]] asio::awaitable<bool> AcquireToken(
      const GatewayRequest& request);
  /// @return false if request bodies would take more than their share of
  /// memory.
  [[nodiscard]] bool ReserveBodyBytes(std::size_t bytes);
  /// @param wait time until the request is sent to a server.
  /// @return the refusal if it could not end before this host stops.
  [[nodiscard]] std::optional<Refusal> LeavingRefusal(
      const GatewayRequest& request,
      Duration wait,
      TimePoint now) const;
  /// @return why a request was cancelled.
  [[nodiscard]] static RefusalReason CancelReason(
      const GatewayRequest& request) {
    return request.is_given_up ? RefusalReason::kHostLeaving
                               : RefusalReason::kCallerGone;
  }
  /// Decides whether to try another server. If so, counts the retry and spends
  /// the retry budget.
  [[nodiscard]] bool TryBeginRetry(const GatewayRequest& request,
                                   const CallResult& result,
                                   std::uint32_t connect_failures,
                                   TimePoint now);
  /// Logs an attempt through another host.
  void RecordCarried(const GatewayRequest& request,
                     const Carrier& carrier,
                     const CallResult& result,
                     Duration latency,
                     TimePoint now);
  /// Returns the connection of an attempt to its pool.
  void Recycle(AttemptEnd& end, TimePoint now);
  /// Adds the verdict on a carried request to the answer.
  void AddVerdict(const GatewayRequest& request,
                  const CarriedVerdict& verdict,
                  boost::beast::http::response_header<>& head) const;
  void RecordAttempt(const GatewayRequest& request,
                     const BackendChoice& choice,
                     const CallResult& result,
                     Duration latency,
                     TimePoint now);
  /// @return the server's name for log lines.
  [[nodiscard]] std::string_view NameOf(
      const std::optional<BackendServerId>& server) const;
  /// Applies the limit that an answer names, and logs a change.
  /// @param sent_at when the answered request was sent.
  void RecordNotice(BackendServerId server,
                    const CallResult& result,
                    TimePoint sent_at,
                    TimePoint now);
  void RecordWait(BackendServerId server,
                  const ServerNotice& notice,
                  TimePoint now);
  void RecordRefusal(const GatewayRequest& request,
                     const Refusal& refusal,
                     TimePoint now);
  void RecordAnswer(const GatewayRequest& request,
                    unsigned status,
                    TimePoint now);
  [[nodiscard]] Answer RefusalAnswer(const GatewayRequest& request,
                                     const Refusal& refusal,
                                     unsigned version,
                                     bool keep_alive) const;
  /// @return a server's answer without framing fields.
  [[nodiscard]] Answer AnswerOf(const GatewayRequest& request,
                                const CallResult& result,
                                unsigned version,
                                bool keep_alive) const;
  /// Sets the framing fields of a server's answer that has been read whole.
  static void SetFraming(const GatewayRequest& request,
                         const CallResult& result,
                         Answer& answer);

  GatewayContext& context_;
  asio::io_context& io_;
  GatewayDispatcher& dispatcher_;
  BackendClient& backend_client_;
  PeerLink& peers_;
  CarriedGuard carried_guard_;
  std::set<GatewayRequest*> open_;  ///< Requests that are not answered yet.
};

template <typename Exchange>
asio::awaitable<bool> GatewayHandler::Handle(Exchange& exchange) {
  GatewayRequest request = Start(exchange.head(), MonotonicNow());
  co_return co_await Respond(exchange, request);
}

template <typename Exchange>
asio::awaitable<bool> GatewayHandler::HandleCarried(Exchange& exchange) {
  GatewayRequest request = Start(exchange.head(), MonotonicNow());
  SetMark(exchange.head(), request);
  co_return co_await Respond(exchange, request);
}

template <typename Exchange>
asio::awaitable<bool> GatewayHandler::Respond(Exchange& exchange,
                                              GatewayRequest& request) {
  ++context_.running_requests;
  open_.insert(&request);
  const auto refusal = co_await Serve(exchange, request);
  open_.erase(&request);
  context_.buffered_body_bytes -= request.body.size();
  bool keep_alive = exchange.keep_alive() && exchange.body_done();
  if (refusal) {
    RecordRefusal(request, *refusal, MonotonicNow());
    if (refusal->reason == RefusalReason::kCallerGone ||
        !exchange.socket().is_open()) {
      exchange.Abort();
      keep_alive = false;
    } else {
      Answer answer = RefusalAnswer(request, *refusal,
                                    exchange.head().version(), keep_alive);
      const ExchangeFailure failure = co_await exchange.WriteAnswer(answer);
      keep_alive = keep_alive && failure == ExchangeFailure::kNone;
    }
  }
  --context_.running_requests;
  co_return keep_alive&& exchange.socket().is_open();
}

template <typename Exchange>
asio::awaitable<void> GatewayHandler::Refuse(Exchange& exchange,
                                             RefusalReason reason) {
  GatewayRequest request;
  request.started = MonotonicNow();
  const Refusal refusal{reason, RunState::kNotRun, Duration::zero()};
  RecordRefusal(request, refusal, request.started);
  Answer answer = RefusalAnswer(request, refusal, kHttp11, false);
  co_await exchange.WriteAnswer(answer);
}

template <typename Exchange>
asio::awaitable<std::optional<Refusal>> GatewayHandler::Serve(
    Exchange& exchange,
    GatewayRequest& request) {
  const auto refused = ResolveRoute(exchange.head(), request);
  if (auto refusal = co_await ReadBody(exchange, request))
    co_return refusal;
  if (request.carried) {
    if (auto refusal = AdmitCarried(exchange, request))
      co_return refusal;
  }
  if (refused)
    co_return refused;
  SetFingerprint(exchange.head(), request);
  const TimePoint now = MonotonicNow();
  request.received = now;
  if (!context_.poison.MayRun(request.fingerprint, now)) {
    co_return Refusal{RefusalReason::kCrashContained, RunState::kNotRun,
                      Duration::zero()};
  }
  if (!request.carried && !co_await AcquireToken(request)) {
    co_return Refusal{RefusalReason::kRateExceeded, RunState::kNotRun,
                      context_.limiter.TimeUntilToken(request.workspace_id(),
                                                      MonotonicNow())};
  }
  SetPickRequest(exchange.head(), request);
  // The host of the caller has been credited with a carried request.
  if (!request.carried)
    RetryBudgetOf(request.pick.service).OnSuccess();
  const WorkspaceId workspace = request.workspace_id();
  auto refusal = co_await RunAttempts(exchange, request);
  if (refusal && refusal->run_state == RunState::kNotRun && !request.carried)
    context_.limiter.Return(workspace, MonotonicNow());
  co_return refusal;
}

template <typename Exchange>
asio::awaitable<std::optional<Refusal>> GatewayHandler::ReadBody(
    Exchange& exchange,
    GatewayRequest& request) {
  const bool expects_continue =
      exchange.head().version() >= kHttp11 &&
      boost::beast::iequals(exchange.head()[boost::beast::http::field::expect],
                            "100-continue");
  if (exchange.body_done())
    co_return std::nullopt;
  request.cancel = [&exchange] { exchange.CancelAll(); };
  if (expects_continue) {
    if (co_await exchange.WriteContinue() != ExchangeFailure::kNone)
      co_return Refusal{CancelReason(request), RunState::kNotRun, {}};
  }
  const TimePoint deadline = request.route == nullptr
                                 ? request.started + kMaxBodyTime
                                 : request.deadline;
  while (!exchange.body_done()) {
    const std::size_t held = request.body.size();
    if (!ReserveBodyBytes(kChunkBytes)) {
      co_return Refusal{RefusalReason::kQueueFull, RunState::kNotRun,
                        std::chrono::seconds(1)};
    }
    request.body.resize(held + kChunkBytes);
    const BodyChunk chunk = co_await exchange.ReadBody(
        std::span(request.body).subspan(held), deadline);
    request.body.resize(held + chunk.size);
    context_.buffered_body_bytes -= kChunkBytes - chunk.size;
    if (chunk.failure != ExchangeFailure::kNone && request.is_given_up)
      co_return Refusal{RefusalReason::kHostLeaving, RunState::kNotRun, {}};
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
  request.cancel = nullptr;
  co_return std::nullopt;
}

template <typename Exchange>
std::optional<Refusal> GatewayHandler::AdmitCarried(Exchange& exchange,
                                                    GatewayRequest& request) {
  const auto refused = [](RefusalReason reason) {
    return Refusal{reason, RunState::kNotRun, Duration::zero()};
  };
  // A host that was frozen may read a request that has been given up.
  if (exchange.IsClosedByCaller())
    return refused(RefusalReason::kCallerGone);
  switch (CheckMark(exchange.head(), request)) {
    case CarriedAdmission::kAccepted:
      break;
    case CarriedAdmission::kOtherRun:
      return refused(RefusalReason::kNoPath);
    case CarriedAdmission::kRepeated:
      return refused(RefusalReason::kWrongHost);
  }
  if (context_.leaving)
    return refused(RefusalReason::kHostLeaving);
  if (IsOlderThanOrigin(exchange.head()))
    return refused(RefusalReason::kConfigurationStale);
  context_.metrics.Count(CounterName::kCarriedForPeers);
  return std::nullopt;
}

template <typename Exchange>
asio::awaitable<std::optional<Refusal>> GatewayHandler::RunAttempts(
    Exchange& exchange,
    GatewayRequest& request) {
  std::uint32_t connect_failures = 0;
  RunState run_state = RunState::kNotRun;
  while (true) {
    if (const auto refusal =
            UpdateTerms(exchange.head(), request, MonotonicNow()))
      co_return Refusal{refusal->reason, run_state, refusal->retry_after};
    const bool may_run_twice =
        run_state == RunState::kNotRun || request.route->idempotent;
    if (!may_run_twice)
      co_return Refusal{RefusalReason::kBackendClosed, run_state, {}};
    const auto grant = co_await Acquire(exchange, request);
    if (const auto* refusal = std::get_if<Refusal>(&grant)) {
      co_return Refusal{refusal->reason, run_state, refusal->retry_after};
    }
    if (!KeepGrant(request, grant, MonotonicNow()))
      continue;
    AttemptEnd end;
    if (const auto* choice = std::get_if<BackendChoice>(&grant)) {
      end = co_await RunAtServer(exchange, request, *choice);
    } else {
      const auto& carrier = std::get<Carrier>(grant);
      end = co_await RunThroughCarrier(exchange, request, carrier);
    }
    CallResult& result = end.result;
    const TimePoint ended = MonotonicNow();
    if (result.caller_gone) {
      if (result.run_state != RunState::kNotRun)
        run_state = RunState::kUnknown;
      co_return Refusal{CancelReason(request), run_state, {}};
    }
    if (result.was_withdrawn)
      continue;
    if (result.outcome == RequestOutcome::kConnectFailed)
      ++connect_failures;
    else
      request.attempts += std::max(1U, result.carrier_attempts);
    if (result.run_state != RunState::kNotRun)
      run_state = RunState::kUnknown;
    const bool answered = result.head && result.run_state == RunState::kRan;
    const bool wants_retry =
        !answered || (request.route->idempotent &&
                      result.outcome == RequestOutcome::kFailed);
    if (wants_retry &&
        TryBeginRetry(request, result, connect_failures, ended)) {
      if (end.server)
        request.pick.excluded.push_back(*end.server);
      else
        request.tried_carriers.push_back(*end.carrier);
      if (result.complete)
        Recycle(end, ended);
      continue;
    }
    if (answered)
      co_return co_await ForwardAnswer(exchange, request, std::move(end));
    if (result.complete)
      Recycle(end, ended);
    co_return Refusal{result.reason, run_state, result.retry_after};
  }
}

template <typename Exchange>
asio::awaitable<GatewayDispatcher::Grant> GatewayHandler::Acquire(
    Exchange& exchange,
    GatewayRequest& request) {
  if (context_.leaving) {
    const TimePoint begun = MonotonicNow();
    if (const auto refusal = LeavingRefusal(
            request, dispatcher_.ExpectedWait(request, begun), begun))
      co_return *refusal;
  }
  request.is_waiting = true;
  auto grant = co_await dispatcher_.Acquire(request, WatchOf(exchange, request),
                                            UnwatchOf(exchange, request));
  request.is_waiting = false;
  if (auto* const refusal = std::get_if<Refusal>(&grant)) {
    if (refusal->reason == RefusalReason::kCallerGone)
      refusal->reason = CancelReason(request);
    co_return grant;
  }
  const TimePoint now = MonotonicNow();
  const auto refusal = LeavingRefusal(request, Duration::zero(), now);
  if (!refusal)
    co_return grant;
  if (const auto* const choice = std::get_if<BackendChoice>(&grant)) {
    dispatcher_.Release(request, *choice, RequestOutcome::kCancelled,
                        Duration::zero(), 0, now);
  }
  co_return *refusal;
}

template <typename Exchange>
asio::awaitable<GatewayHandler::AttemptEnd> GatewayHandler::RunAtServer(
    Exchange& exchange,
    GatewayRequest& request,
    const BackendChoice& choice) {
  const auto watch = WatchOf(exchange, request);
  const auto unwatch = UnwatchOf(exchange, request);
  const TimePoint begun = MonotonicNow();
  AttemptEnd end;
  end.server = choice.server;
  end.result = co_await backend_client_.Call(request, exchange.head(),
                                             choice.server, watch, unwatch);
  if (end.result.caller_gone)
    end.result.reason = CancelReason(request);
  const TimePoint ended = MonotonicNow();
  RecordAttempt(request, choice, end.result, ended - begun, ended);
  dispatcher_.Release(request, choice, end.result.outcome, ended - begun,
                      end.result.body.size(), ended);
  co_return std::move(end);
}

template <typename Exchange>
asio::awaitable<GatewayHandler::AttemptEnd> GatewayHandler::RunThroughCarrier(
    Exchange& exchange,
    GatewayRequest& request,
    const Carrier& carrier) {
  const auto watch = WatchOf(exchange, request);
  const auto unwatch = UnwatchOf(exchange, request);
  const TimePoint begun = MonotonicNow();
  const HostId host = carrier.host.id();
  context_.carriers.OnStarted(host);
  AttemptEnd end;
  end.carrier = host;
  end.result = co_await backend_client_.CallCarrier(request, exchange.head(),
                                                    carrier, watch, unwatch);
  CallResult& result = end.result;
  const TimePoint ended = MonotonicNow();
  const bool has_tried_nothing = result.run_state == RunState::kNotRun &&
                                 result.carrier_attempts == 0 &&
                                 result.outcome == RequestOutcome::kShed;
  const bool may_go_elsewhere =
      result.reason == RefusalReason::kNoPath ||
      result.reason == RefusalReason::kHostLeaving ||
      result.reason == RefusalReason::kConfigurationStale;
  // No server has had it, so that it costs no retry.
  if (has_tried_nothing && may_go_elsewhere)
    result.outcome = RequestOutcome::kConnectFailed;
  const bool is_served =
      result.head.has_value() || result.caller_gone || result.was_withdrawn;
  context_.carriers.OnFinished(
      host, is_served && result.outcome != RequestOutcome::kConnectFailed,
      ended);
  RecordCarried(request, carrier, result, ended - begun, ended);
  co_return std::move(end);
}

template <typename Exchange>
asio::awaitable<std::optional<Refusal>> GatewayHandler::ForwardAnswer(
    Exchange& exchange,
    const GatewayRequest& request,
    AttemptEnd end) {
  CallResult& result = end.result;
  const unsigned status = result.head->result_int();
  constexpr unsigned kNotRunStatuses[] = {408, 421, 429, 503};
  if (std::ranges::find(kNotRunStatuses, status) != std::end(kNotRunStatuses)) {
    // Callers take these statuses to mean that the request has not run.
    if (result.complete)
      Recycle(end, MonotonicNow());
    co_return Refusal{RefusalReason::kBackendMalformed, RunState::kUnknown, {}};
  }
  if (!result.complete) {
    co_await StreamAnswer(exchange, request, result);
    co_return std::nullopt;
  }
  Answer answer = AnswerOf(request, result, exchange.head().version(),
                           exchange.keep_alive());
  SetFraming(request, result, answer);
  Recycle(end, MonotonicNow());
  const ExchangeFailure failure = co_await exchange.WriteAnswer(answer);
  RecordAnswer(request, status, MonotonicNow());
  if (failure != ExchangeFailure::kNone)
    exchange.Abort();
  co_return std::nullopt;
}

template <typename Exchange>
asio::awaitable<void> GatewayHandler::StreamAnswer(
    Exchange& exchange,
    const GatewayRequest& request,
    CallResult& result) {
  const unsigned version = exchange.head().version();
  const auto length = result.connection->answer().content_length();
  const bool is_chunked = !length && version >= kHttp11;
  // Readers of earlier versions know no chunks.
  if (!length && !is_chunked)
    exchange.EndAfterAnswer();
  Answer full_answer =
      AnswerOf(request, result, version, exchange.keep_alive());
  if (length)
    full_answer.content_length(*length);
  else
    full_answer.chunked(is_chunked);
  StreamedMessage<false> message(std::move(full_answer.base()));
  std::string chunk_bytes = std::move(result.body);
  bool last = false;
  ExchangeFailure failure =
      co_await exchange.WritePart(message, chunk_bytes, false);
  while (failure == ExchangeFailure::kNone && !last) {
    chunk_bytes.resize(kChunkBytes);
    exchange.WatchForClose([&result] { result.connection->Cancel(); });
    const BodyChunk chunk = co_await result.connection->ReadBody(
        chunk_bytes, BackendClient::AnswerDeadline(request));
    exchange.StopWatching();
    failure = chunk.failure;
    last = chunk.last;
    if (failure == ExchangeFailure::kNone) {
      failure = co_await exchange.WritePart(
          message, std::span(chunk_bytes).first(chunk.size), last);
    }
  }
  if (failure != ExchangeFailure::kNone) {
    context_.metrics.Count(CounterName::kTruncatedAnswers);
    exchange.Abort();
  }
  RecordAnswer(request, result.head->result_int(), MonotonicNow());
}

}  // namespace comfreyvane

#endif  // COMFREYVANE_GATEWAY_GATEWAY_HANDLER_H_
