/// @file
/// Serves callers' requests.
#ifndef COMFREYVANE_HOST_REQUEST_HANDLER_H_
#define COMFREYVANE_HOST_REQUEST_HANDLER_H_

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "comfreyvane/base/random_source.h"
#include "comfreyvane/host/backend_exchange.h"
#include "comfreyvane/host/host_context.h"
#include "comfreyvane/host/refusal_answer.h"
#include "comfreyvane/host/request_gate.h"
#include "comfreyvane/host/request_run.h"
#include "comfreyvane/host/service_dispatcher.h"
#include "comfreyvane/host/system_routes.h"
#include "comfreyvane/net/backend_pool.h"
#include "comfreyvane/net/clock.h"

namespace comfreyvane {

/// Serves the requests of one thread's callers: checks, waits for a slot, tries
/// a backend server, and passes its answer on.
class RequestHandler {
 public:
  RequestHandler(HostContext& context,
                 asio::io_context& io,
                 TimeoutSweeper& sweeper,
                 BackendPool& pool,
                 std::uint64_t seed);

  /// Starts what runs beside requests; ends with the io_context.
  void Start() { watch_.Start(); }

  /// Serves one request whose head was read.
  /// @return whether the connection may carry another.
  template <typename Exchange>
  [[nodiscard]] asio::awaitable<bool> Handle(Exchange& exchange);

  /// Answers a head that cannot be served.
  template <typename Exchange>
  [[nodiscard]] asio::awaitable<void> Refuse(Exchange& exchange,
                                             RefusalReason reason);

 private:
  /// Bytes of a body that are held, so that it can be sent again.
  static constexpr std::size_t kFirstPartBytes = 16 * 1024;

  template <typename Exchange>
  asio::awaitable<std::optional<Refusal>> Serve(Exchange& exchange,
                                                RequestRun& run);
  template <typename Exchange>
  asio::awaitable<std::optional<Refusal>> ReadFirstPart(Exchange& exchange,
                                                        RequestRun& run);
  template <typename Exchange>
  asio::awaitable<std::optional<Refusal>> RunAttempts(Exchange& exchange,
                                                      RequestRun& run);
  template <typename Exchange>
  asio::awaitable<SlotGrant> AcquireSlot(Exchange& exchange,
                                         ServiceDispatcher& dispatcher,
                                         const DispatchRequest& request);
  template <typename Exchange>
  asio::awaitable<bool> AnswerRefusal(Exchange& exchange,
                                      const RequestRun& run,
                                      Refusal refusal);
  template <typename Exchange>
  asio::awaitable<bool> HandleSystemRoute(Exchange& exchange,
                                          const RequestRun& run);

  [[nodiscard]] RequestRun StartRun(TimePoint now);
  [[nodiscard]] DispatchRequest DispatchRequestOf(const RequestRun& run,
                                                  bool isolated) const;
  [[nodiscard]] std::optional<Refusal> CheckAtDispatch(const RequestRun& run,
                                                       TimePoint now);
  [[nodiscard]] AnswerTerms TermsOf(const RequestRun& run,
                                    bool keep_alive,
                                    unsigned version) const;
  void SetFingerprint(const boost::beast::http::request_header<>& head,
                      RequestRun& run) const;
  void NoteRefusal(const RequestRun& run, const Refusal& refusal);
  void NoteAnswered(const RequestRun& run, Duration at_backend);

  HostContext& context_;
  asio::io_context& io_;
  RequestGate gate_;
  ConnectionWatch watch_;
  BackendExchange backends_;
  SystemRoutes system_;
  RandomSource random_;
};

template <typename Exchange>
asio::awaitable<bool> RequestHandler::Handle(Exchange& exchange) {
  RequestRun run = StartRun(MonotonicNow());
  const auto terms = ReadRequestTerms(exchange.head());
  if (!terms) {
    co_return co_await AnswerRefusal(
        exchange, run,
        {RefusalReason::kMalformedRequest, RunState::kNotRun, {}});
  }
  run.terms = *terms;
  if (const auto refusal = context_.stop.TryStart())
    co_return co_await AnswerRefusal(exchange, run, *refusal);
  bool go_on = false;
  if (SystemRoutes::Owns(run.terms.path))
    go_on = co_await HandleSystemRoute(exchange, run);
  else if (const auto refusal = co_await Serve(exchange, run))
    go_on = co_await AnswerRefusal(exchange, run, *refusal);
  else
    go_on = exchange.keep_alive();
  context_.stop.Finish(MonotonicNow());
  co_return go_on&& exchange.socket().is_open();
}

template <typename Exchange>
asio::awaitable<void> RequestHandler::Refuse(Exchange& exchange,
                                             RefusalReason reason) {
  const RequestRun run = StartRun(MonotonicNow());
  const Refusal refusal{reason, RunState::kNotRun, {}};
  NoteRefusal(run, refusal);
  OwnAnswer answer = RefusalAnswer(refusal, TermsOf(run, false, 11));
  co_await exchange.WriteAnswer(answer);
}

template <typename Exchange>
asio::awaitable<std::optional<Refusal>> RequestHandler::Serve(
    Exchange& exchange,
    RequestRun& run) {
  if (auto refusal = gate_.Identify(run))
    co_return refusal;
  if (auto refusal = gate_.CheckFreshness(run, run.started))
    co_return refusal;
  if (auto refusal = co_await ReadFirstPart(exchange, run))
    co_return refusal;
  SetFingerprint(exchange.head(), run);
  if (auto refusal = co_await gate_.Record(run))
    co_return refusal;
  std::optional<Refusal> refusal = gate_.TakeToken(run, MonotonicNow());
  if (!refusal)
    refusal = co_await RunAttempts(exchange, run);
  if (refusal) {
    const TimePoint now = MonotonicNow();
    refusal = gate_.Truthful(run, *refusal, now);
    gate_.EndRecord(run, {refusal->run_state, 0}, now);
  }
  co_return refusal;
}

template <typename Exchange>
asio::awaitable<std::optional<Refusal>> RequestHandler::ReadFirstPart(
    Exchange& exchange,
    RequestRun& run) {
  run.body_complete = exchange.body_done();
  if (run.body_complete)
    co_return std::nullopt;
  if (run.terms.expects_continue) {
    if (co_await exchange.WriteContinue() != ExchangeFailure::kNone)
      co_return Refusal{RefusalReason::kCallerGone, RunState::kNotRun, {}};
  }
  const std::uint64_t expected =
      exchange.content_length().value_or(kFirstPartBytes);
  run.first_part.resize(std::min<std::uint64_t>(expected, kFirstPartBytes));
  std::size_t filled = 0;
  while (!run.body_complete && filled < run.first_part.size()) {
    const BodyChunk chunk =
        co_await exchange.ReadBody(std::span(run.first_part).subspan(filled));
    if (chunk.failure != ExchangeFailure::kNone)
      co_return RefusalOfCaller(chunk.failure, RunState::kNotRun);
    filled += chunk.size;
    run.body_complete = chunk.last;
  }
  run.first_part.resize(filled);
  co_return std::nullopt;
}

template <typename Exchange>
asio::awaitable<SlotGrant> RequestHandler::AcquireSlot(
    Exchange& exchange,
    ServiceDispatcher& dispatcher,
    const DispatchRequest& request) {
  const TimePoint now = MonotonicNow();
  if (const auto choice = dispatcher.TryAcquire(request, now))
    co_return SlotGrant(*choice);
  const auto waiter = std::make_shared<Waiter>(io_, request);
  exchange.WatchForClose(
      [&dispatcher, waiter] { dispatcher.Abandon(waiter, MonotonicNow()); });
  const SlotGrant grant = co_await dispatcher.Wait(waiter, now);
  exchange.StopWatching();
  context_.metrics.Record(LatencyName::kQueueWait, MonotonicNow() - now,
                          MonotonicNow());
  co_return grant;
}

template <typename Exchange>
asio::awaitable<std::optional<Refusal>> RequestHandler::RunAttempts(
    Exchange& exchange,
    RequestRun& run) {
  const auto dispatcher = context_.dispatchers.Find(run.service_id());
  if (!dispatcher)
    co_return Refusal{RefusalReason::kNoBackendServer, RunState::kNotRun, {}};
  const CrashAdmission admission =
      context_.crashes.Admit(run.fingerprint, MonotonicNow());
  if (admission == CrashAdmission::kContained)
    co_return context_.crashes.ContainedRefusal();
  DispatchRequest request =
      DispatchRequestOf(run, admission == CrashAdmission::kIsolated);
  Attempt attempt{.idempotent = run.terms.idempotent, .deadline = run.deadline};
  while (true) {
    const SlotGrant grant =
        co_await AcquireSlot(exchange, *dispatcher, request);
    if (const auto* refusal = std::get_if<Refusal>(&grant)) {
      co_return attempt.sent_before
          ? Refusal{refusal->reason, RunState::kUnknown, refusal->retry_after}
          : *refusal;
    }
    const BackendServerId server = std::get<RouteChoice>(grant).server;
    const TimePoint begun = MonotonicNow();
    if (const auto refusal = CheckAtDispatch(run, begun)) {
      dispatcher->Release(server, RequestOutcome::kCancelled, {}, begun);
      co_return refusal;
    }
    const BackendResult result = co_await backends_.Try(exchange, run, server);
    const TimePoint ended = MonotonicNow();
    dispatcher->Release(server, result.evidence, ended - begun, ended);
    if (result.ended) {
      if (!result.refusal) {
        dispatcher->OnAnswered(run.terms.idempotent, ended - begun);
        NoteAnswered(run, ended - begun);
      }
      co_return result.refusal;
    }
    attempt.outcome = result.outcome;
    attempt.sent = result.sent;
    attempt.pooled = result.pooled;
    const RetryDecision decision = dispatcher->DecideRetry(attempt, ended);
    if (const auto* give_up = std::get_if<FailRequest>(&decision))
      co_return give_up->refusal;
    const Retry& retry = std::get<Retry>(decision);
    context_.metrics.CountRetry(retry.reason);
    if (!retry.may_have_run)
      gate_.ReturnRun(run);
    attempt.sent_before = retry.may_have_run;
    ++attempt.number;
    request.route.excluded.push_back(server);
    co_await backends_.Pause(retry.backoff);
  }
}

template <typename Exchange>
asio::awaitable<bool> RequestHandler::AnswerRefusal(Exchange& exchange,
                                                    const RequestRun& run,
                                                    Refusal refusal) {
  refusal = gate_.Truthful(run, refusal, MonotonicNow());
  NoteRefusal(run, refusal);
  if (!exchange.socket().is_open())
    co_return false;
  // Unread input would be taken for the next request.
  const bool leaving = refusal.reason == RefusalReason::kHostLeaving;
  const bool keep_alive =
      exchange.keep_alive() && exchange.body_done() && !leaving;
  OwnAnswer answer = RefusalAnswer(
      refusal, TermsOf(run, keep_alive, exchange.head().version()));
  co_return co_await exchange.WriteAnswer(answer) ==
      ExchangeFailure::kNone&& keep_alive;
}

template <typename Exchange>
asio::awaitable<bool> RequestHandler::HandleSystemRoute(Exchange& exchange,
                                                        const RequestRun& run) {
  error_code ignored;
  const auto remote = exchange.socket().remote_endpoint(ignored);
  const auto result =
      system_.Answer(run.terms, remote.address().to_string(), MonotonicNow());
  if (const auto* refusal = std::get_if<Refusal>(&result))
    co_return co_await AnswerRefusal(exchange, run, *refusal);
  const bool keep_alive = exchange.keep_alive() && exchange.body_done();
  OwnAnswer answer =
      JsonAnswer(200, std::get<std::string>(result),
                 TermsOf(run, keep_alive, exchange.head().version()));
  co_return co_await exchange.WriteAnswer(answer) ==
      ExchangeFailure::kNone&& keep_alive;
}

}  // namespace comfreyvane

#endif  // COMFREYVANE_HOST_REQUEST_HANDLER_H_
