#include "comfreyvane/gateway/gateway_dispatcher.h"

#include <algorithm>
#include <utility>

#include "comfreyvane/net/clock.h"

namespace comfreyvane {
namespace {

/// Part of the objective that a request may wait although its answer will be
/// late anyway.
constexpr double kLateWaitPart = 0.12;

/// Part of what the objective leaves beside the expected work that a request
/// may wait.
constexpr double kWaitPart = 0.8;

/// Retry-After of a request that found no room.
constexpr Duration kLeastRetryAfter = std::chrono::milliseconds(100);
constexpr Duration kMostRetryAfter = std::chrono::seconds(1);

Duration Scaled(Duration span, double factor) {
  return Duration(
      static_cast<Duration::rep>(factor * static_cast<double>(span.count())));
}

}  // namespace

GatewayDispatcher::GatewayDispatcher(GatewayContext& context,
                                     asio::io_context& io)
    : context_(context), io_(io) {}

asio::awaitable<GatewayDispatcher::Grant> GatewayDispatcher::Acquire(
    const GatewayRequest& request,
    std::function<void(std::function<void()>)> watch,
    std::function<void()> unwatch) {
  const TimePoint now = MonotonicNow();
  const ServiceId service = request.pick.service;
  DrainQueue(service, now);
  if (const auto choice = TryTake(request.pick, now))
    co_return *choice;
  const TimePoint give_up = GiveUpAt(request);
  if (now + queue_.ExpectedWait(service, request.urgency) > give_up)
    co_return NoRoom(request);
  const auto waiter = std::make_shared<GatewayWaiter>(io_, request.pick);
  queue_.Push(service, request.urgency, waiter, give_up);
  watch([this, waiter, service] {
    if (waiter->choice || waiter->refusal)
      return;
    queue_.Remove(service, waiter);
    waiter->refusal = Refusal{RefusalReason::kCallerGone, RunState::kNotRun,
                              Duration::zero()};
    waiter->wakeup.cancel();
  });
  if (!waiter->choice && !waiter->refusal)
    co_await waiter->wakeup.async_wait(kAwait);
  unwatch();
  const TimePoint ended = MonotonicNow();
  context_.metrics.Record(LatencyName::kQueueWait, ended - now, ended);
  if (waiter->choice)
    co_return *waiter->choice;
  if (waiter->refusal)
    co_return *waiter->refusal;
  co_return NoRoom(request);
}

void GatewayDispatcher::Release(const GatewayRequest& request,
                                const BackendChoice& choice,
                                RequestOutcome outcome,
                                Duration latency,
                                std::size_t answer_bytes,
                                TimePoint now) {
  context_.backends.OnFinished(choice, request.pick, outcome, latency,
                               answer_bytes, now);
  queue_.OnReleased(request.pick.service, now);
  DrainQueue(request.pick.service, now);
}

void GatewayDispatcher::OnLoad(BackendServerId server,
                               const LoadReport& report,
                               TimePoint now) {
  context_.backends.OnLoad(server, report, now);
}

void GatewayDispatcher::OnTick(TimePoint now) {
  for (const ServiceId service : queue_.Services())
    DrainQueue(service, now);
  for (const GatewayWaiterPtr& waiter : queue_.Expire(now))
    waiter->wakeup.cancel();
}

std::optional<BackendChoice> GatewayDispatcher::TryTake(
    const PickRequest& request,
    TimePoint now) {
  const auto choice = context_.backends.Pick(request, now);
  if (!choice || !context_.backends.OnStarted(*choice, now))
    return std::nullopt;
  return choice;
}

Refusal GatewayDispatcher::NoRoom(const GatewayRequest& request) const {
  const ServiceId service = request.pick.service;
  const RefusalReason reason = context_.backends.HasServers(service)
                                   ? RefusalReason::kQueueFull
                                   : RefusalReason::kNoBackendServer;
  const Duration wait = queue_.ExpectedWait(service, request.urgency);
  return {reason, RunState::kNotRun,
          std::clamp(wait, kLeastRetryAfter, kMostRetryAfter)};
}

TimePoint GatewayDispatcher::GiveUpAt(const GatewayRequest& request) const {
  const Duration objective = request.route->objective;
  const Duration work = context_.backends.ExpectedWarm(request.pick);
  const Duration wait = std::max(Scaled(objective - work, kWaitPart),
                                 Scaled(objective, kLateWaitPart));
  return std::min(request.started + wait, request.deadline);
}

void GatewayDispatcher::DrainQueue(ServiceId service, TimePoint now) {
  queue_.Drain(service, [&](const GatewayWaiterPtr& waiter) {
    waiter->choice = TryTake(waiter->request, now);
    if (!waiter->choice)
      return false;
    waiter->wakeup.cancel();
    return true;
  });
}

}  // namespace comfreyvane
