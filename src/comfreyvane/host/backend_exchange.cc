#include "comfreyvane/host/backend_exchange.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/string.hpp>

#include "comfreyvane/net/header_names.h"

namespace comfreyvane {
namespace {

/// A used connection that breaks sooner than this was already closed by the
/// server when the request was sent.
constexpr Duration kStaleBreak = std::chrono::milliseconds(5);

}  // namespace

Refusal RefusalOfCaller(ExchangeFailure failure, RunState run_state) {
  switch (failure) {
    case ExchangeFailure::kTimeout:
      return {RefusalReason::kSlowCaller, run_state, {}};
    case ExchangeFailure::kTooLarge:
      return {RefusalReason::kBodyTooLarge, run_state, {}};
    case ExchangeFailure::kMalformed:
      return {RefusalReason::kMalformedRequest, run_state, {}};
    case ExchangeFailure::kNone:
    case ExchangeFailure::kClosed:
      break;
  }
  return {RefusalReason::kCallerGone, run_state, {}};
}

BackendExchange::BackendExchange(HostContext& context,
                                 RequestGate& gate,
                                 asio::io_context& io,
                                 TimeoutSweeper& sweeper,
                                 BackendPool& pool,
                                 ConnectionWatch& watch)
    : context_(context),
      gate_(gate),
      io_(io),
      sweeper_(sweeper),
      pool_(pool),
      watch_(watch) {}

asio::awaitable<void> BackendExchange::Pause(Duration backoff) {
  if (backoff <= Duration::zero())
    co_return;
  asio::steady_timer timer(io_);
  timer.expires_after(backoff);
  co_await timer.async_wait(kAwait);
}

BackendExchange::ConnectionPtr BackendExchange::TakePooled(
    const RequestRun& run,
    BackendServerId server) {
  const TimePoint now = MonotonicNow();
  while (ConnectionPtr connection = pool_.Take(server, now)) {
    const ConnectionId id(connection->id());
    if (watch_.MayCarry(id, run.terms.idempotent, now))
      return connection;
    // Whether one that idled long still works, only its use can tell.
    watch_.OnClosed(id);
  }
  return nullptr;
}

asio::awaitable<BackendExchange::ConnectionPtr> BackendExchange::Connect(
    const RequestRun& run,
    BackendServerId server) {
  const BackendServer* const target = run.configuration->Find(server);
  if (target == nullptr)
    co_return nullptr;
  error_code error;
  const auto address = asio::ip::make_address(target->address, error);
  if (error)
    co_return nullptr;
  const TimePoint begun = MonotonicNow();
  const TimePoint deadline = std::min(
      run.deadline, begun + context_.settings.timeouts.backend_connect);
  auto connection = std::make_unique<BackendConnection>(io_, sweeper_);
  const ExchangeFailure failure =
      co_await connection->Connect({address, target->port}, deadline);
  if (failure != ExchangeFailure::kNone)
    co_return nullptr;
  const TimePoint now = MonotonicNow();
  connection->SetId(watch_.OnOpened(server, now).value());
  context_.metrics.Count(CounterName::kBackendConnections);
  context_.metrics.Record(LatencyName::kBackendConnect, now - begun, now);
  co_return connection;
}

BackendResult BackendExchange::Failed(const RequestRun& run,
                                      BackendServerId server,
                                      ExchangeFailure failure,
                                      bool pooled,
                                      TimePoint sent_at) {
  BackendResult result{.sent = true, .pooled = pooled};
  const TimePoint now = MonotonicNow();
  switch (failure) {
    case ExchangeFailure::kTimeout:
      result.outcome = AttemptOutcome::kTimeout;
      result.evidence = RequestOutcome::kTimeout;
      context_.metrics.Count(CounterName::kCancelledAttempts);
      break;
    case ExchangeFailure::kMalformed:
    case ExchangeFailure::kTooLarge:
      result.outcome = AttemptOutcome::kMalformed;
      result.evidence = RequestOutcome::kFailed;
      break;
    case ExchangeFailure::kNone:
    case ExchangeFailure::kClosed:
      result.outcome = AttemptOutcome::kClosed;
      result.evidence = RequestOutcome::kFailed;
      if (!pooled || now - sent_at > kStaleBreak) {
        result.outcome = AttemptOutcome::kCrashed;
        result.evidence = RequestOutcome::kCrashed;
        context_.metrics.Count(CounterName::kServerCrashes);
        context_.crashes.OnCrash(server, now);
      }
      break;
  }
  if (now >= run.deadline) {
    result.ended = true;
    result.refusal =
        Refusal{RefusalReason::kDeadlinePassed, RunState::kUnknown, {}};
  }
  return result;
}

BackendResult BackendExchange::CallerGone() {
  return {
      .ended = true,
      .refusal = Refusal{RefusalReason::kCallerGone, RunState::kUnknown, {}},
      .evidence = RequestOutcome::kCancelled};
}

bool BackendExchange::IsShed(
    const boost::beast::http::response_header<>& head) {
  constexpr unsigned kServiceUnavailable = 503;
  return head.result_int() == kServiceUnavailable &&
         head[kShedField] == "not-run";
}

}  // namespace comfreyvane
