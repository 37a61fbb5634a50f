#include "comfreyvane/gateway/gateway_dispatcher.h"

#include <algorithm>
#include <utility>

#include "comfreyvane/edge/wait_policy.h"
#include "comfreyvane/net/clock.h"

namespace comfreyvane {

GatewayDispatcher::GatewayDispatcher(GatewayContext& context,
                                     asio::io_context& io)
    : context_(context), io_(io) {}

asio::awaitable<GatewayDispatcher::Grant> GatewayDispatcher::Acquire(
    const GatewayRequest& request,
    std::function<void(std::function<void()>)> watch,
    std::function<void()> unwatch) {
  const TimePoint began = MonotonicNow();
  const ServiceId service = request.pick.service;
  while (true) {
    if (request.table != context_.table)
      co_return ConfigurationChanged{};
    const TimePoint now = MonotonicNow();
    DrainQueue(service, now);
    if (const auto grant = GrantNow(request, now))
      co_return *grant;
    const TimePoint expiry = WaitDeadline(
        {request.started, request.route->objective,
         context_.backends.ExpectedWarm(request.pick), request.deadline});
    if (ExpectedWait(request, now) > expiry - now)
      co_return QueueRefusal(request, now);
    const auto waiter = std::make_shared<GatewayWaiter>(io_, request.pick);
    queue_.Push(service, request.urgency, waiter, expiry);
    watch([this, waiter, service] {
      if (waiter->choice || waiter->refusal)
        return;
      queue_.Remove(service, waiter);
      waiter->refusal = Refusal{RefusalReason::kCallerGone, RunState::kNotRun,
                                Duration::zero()};
      waiter->wakeup.cancel();
    });
    if (!waiter->choice && !waiter->refusal && !waiter->is_reassigned)
      co_await waiter->wakeup.async_wait(kAwait);
    unwatch();
    const TimePoint ended = MonotonicNow();
    context_.metrics.Record(LatencyName::kQueueWait, ended - began, ended);
    if (waiter->choice)
      co_return *waiter->choice;
    if (waiter->refusal)
      co_return *waiter->refusal;
    if (!waiter->is_reassigned)
      co_return QueueRefusal(request, ended);
  }
}

std::optional<GatewayDispatcher::Grant> GatewayDispatcher::GrantNow(
    const GatewayRequest& request,
    TimePoint now) {
  if (const auto carrier = CarrierFor(request, now))
    return *carrier;
  if (const auto choice = TryStart(request.pick, now))
    return *choice;
  if (!context_.paths.is_disturbed())
    return std::nullopt;
  const auto unreachable = context_.backends.AnyUnreachableFor(request.pick);
  if (!unreachable)
    return std::nullopt;
  if (const auto group = context_.paths.LostGroupOf(*unreachable)) {
    if (const auto carrier = PickCarrier(request, *group, now))
      return *carrier;
  }
  if (context_.backends.CanReach(request.pick))
    return std::nullopt;
  return Refusal{RefusalReason::kNoPath, RunState::kNotRun, NoPathRetryAfter()};
}

std::optional<Carrier> GatewayDispatcher::CarrierFor(
    const GatewayRequest& request,
    TimePoint now) {
  if (!context_.paths.is_disturbed() || request.carried)
    return std::nullopt;
  if (const auto server = context_.backends.UnreachableFor(request.pick, now)) {
    const auto group = context_.paths.LostGroupOf(*server);
    return group ? PickCarrier(request, *group, now) : std::nullopt;
  }
  const auto choice = context_.backends.Pick(request.pick, now);
  if (!choice)
    return std::nullopt;
  const auto group = context_.paths.HoldBack(choice->server, now);
  return group ? PickCarrier(request, *group, now) : std::nullopt;
}

std::optional<Carrier> GatewayDispatcher::PickCarrier(
    const GatewayRequest& request,
    const PathGroup& group,
    TimePoint now) const {
  if (request.carried || context_.fleet_secret.empty())
    return std::nullopt;
  // Bodies may be sent only to the regions where the request may run.
  return context_.carriers.Pick(group, request.pick.regions,
                                request.tried_carriers, now);
}

void GatewayDispatcher::Reassign() {
  for (const GatewayWaiterPtr& waiter : queue_.Expire(TimePoint::max())) {
    waiter->is_reassigned = true;
    waiter->wakeup.cancel();
  }
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

std::optional<BackendChoice> GatewayDispatcher::TryStart(
    const PickRequest& request,
    TimePoint now) {
  const auto choice = context_.backends.Pick(request, now);
  if (!choice || !context_.backends.OnStarted(*choice, now))
    return std::nullopt;
  return choice;
}

Duration GatewayDispatcher::ExpectedWait(const GatewayRequest& request,
                                         TimePoint now) const {
  return std::max({queue_.ExpectedWait(request.pick.service, request.urgency),
                   LimitWaitOf(request.pick, now),
                   context_.backends.TimeUntilWanted(request.pick, now)});
}

Duration GatewayDispatcher::LimitWaitOf(const PickRequest& request,
                                        TimePoint now) const {
  const auto room = context_.backends.RoomUnderLimits(request, now);
  return room ? LimitWait(*room, queue_.depth(request.service))
              : Duration::zero();
}

Refusal GatewayDispatcher::QueueRefusal(const GatewayRequest& request,
                                        TimePoint now) const {
  const ServiceId service = request.pick.service;
  if (const auto room = context_.backends.RoomUnderLimits(request.pick, now);
      room && room->wait > Duration::zero()) {
    return {RefusalReason::kServerLimit, RunState::kNotRun,
            LimitRetryAfter(*room)};
  }
  const RefusalReason reason = context_.backends.HasServers(service)
                                   ? RefusalReason::kQueueFull
                                   : RefusalReason::kNoBackendServer;
  const Duration wait = queue_.ExpectedWait(service, request.urgency);
  const Duration until_wanted =
      context_.backends.TimeUntilWanted(request.pick, now);
  return {reason, RunState::kNotRun, std::max(RetryAfter(wait), until_wanted)};
}

void GatewayDispatcher::DrainQueue(ServiceId service, TimePoint now) {
  queue_.Drain(service, [&](const GatewayWaiterPtr& waiter) {
    waiter->choice = TryStart(waiter->request, now);
    if (!waiter->choice)
      return false;
    waiter->wakeup.cancel();
    return true;
  });
}

}  // namespace comfreyvane
