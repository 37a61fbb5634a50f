#include "comfreyvane/host/service_dispatcher.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <utility>

namespace comfreyvane {
namespace {

SlotGrant ToGrant(RouteCore& routes,
                  const RouteRequest& request,
                  TimePoint now) {
  return boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<SlotGrant> {
        BOOST_LEAF_AUTO(choice, routes.Choose(request, now));
        return SlotGrant(choice);
      },
      [](const Refusal& refusal) { return SlotGrant(refusal); },
      [] { return SlotGrant(Refusal{}); });
}

}  // namespace

ServiceDispatcher::ServiceDispatcher(ServiceId service, std::uint64_t seed)
    : routes_(service, RouteLimits{}, seed),
      queue_(FairOptions{}),
      retries_(RetryLimits{}, seed),
      hedges_(RetryLimits{}) {}

void ServiceDispatcher::Configure(const std::vector<RouteServer>& servers,
                                  std::span<const Weight> weights,
                                  TimePoint now) {
  const std::lock_guard lock(mutex_);
  routes_.OnServers(servers, now);
  std::uint32_t slots = 0;
  for (const RouteServer& server : servers)
    slots += server.leaving ? 0 : server.slots;
  queue_.SetSlots(std::max(slots, 1U));
  for (const Weight& weight : weights)
    queue_.SetWeight(weight.workspace, weight.weight);
  Pump(now);
}

std::optional<RouteChoice> ServiceDispatcher::TryAcquire(
    const DispatchRequest& request,
    TimePoint now) {
  const std::lock_guard lock(mutex_);
  // Requests that wait go first, or a busy caller would overtake them.
  if (queue_.depth() > 0)
    return std::nullopt;
  const SlotGrant grant = ToGrant(routes_, request.route, now);
  const auto* choice = std::get_if<RouteChoice>(&grant);
  if (choice == nullptr ||
      !routes_.TryStart(choice->server, request.route.isolated, now))
    return std::nullopt;
  return *choice;
}

asio::awaitable<SlotGrant> ServiceDispatcher::Wait(WaiterPtr waiter,
                                                   TimePoint now) {
  {
    const std::lock_guard lock(mutex_);
    const DispatchRequest& request = waiter->request;
    const auto pushed = queue_.Push({request.workspace, request.route.deadline,
                                     request.route.idempotent, waiter},
                                    now);
    SettleDrops(pushed);
    Pump(now);
  }
  co_await waiter->wakeup.async_wait(kAwait);
  if (waiter->grant)
    co_return *waiter->grant;
  co_return SlotGrant(
      Refusal{RefusalReason::kCallerGone, RunState::kNotRun, {}});
}

void ServiceDispatcher::Abandon(const WaiterPtr& waiter, TimePoint now) {
  const std::lock_guard lock(mutex_);
  if (waiter->phase == Waiter::Phase::kWaiting) {
    waiter->phase = Waiter::Phase::kAbandoned;
    waiter->wakeup.cancel();
    Pump(now);
  }
}

void ServiceDispatcher::Release(BackendServerId server,
                                RequestOutcome outcome,
                                Duration held,
                                TimePoint now) {
  const std::lock_guard lock(mutex_);
  routes_.Finish(server, outcome, held, now);
  if (outcome == RequestOutcome::kOk)
    queue_.OnServed(held);
  Pump(now);
}

RetryDecision ServiceDispatcher::DecideRetry(const Attempt& attempt,
                                             TimePoint now) {
  const std::lock_guard lock(mutex_);
  return retries_.Decide(attempt, now);
}

void ServiceDispatcher::OnAnswered(bool idempotent, Duration latency) {
  const std::lock_guard lock(mutex_);
  retries_.OnSuccess();
  if (idempotent)
    hedges_.OnSuccess(latency);
}

void ServiceDispatcher::OnTick(TimePoint now) {
  const std::lock_guard lock(mutex_);
  SettleDrops(queue_.Expire(now));
  Pump(now);
}

std::vector<ServerState> ServiceDispatcher::States(TimePoint now) const {
  const std::lock_guard lock(mutex_);
  return routes_.States(now);
}

std::vector<ServerUse> ServiceDispatcher::Use() const {
  const std::lock_guard lock(mutex_);
  return routes_.Use();
}

std::size_t ServiceDispatcher::queued() const {
  const std::lock_guard lock(mutex_);
  return queue_.depth();
}

void ServiceDispatcher::Pump(TimePoint now) {
  while (queue_.depth() > 0 && routes_.FreeSlots() > 0) {
    auto popped = queue_.Pop(now);
    SettleDrops(popped.drops);
    if (!popped.entry)
      return;
    const WaiterPtr& waiter = popped.entry->item;
    if (waiter->phase != Waiter::Phase::kWaiting)
      continue;
    const RouteRequest& route = waiter->request.route;
    SlotGrant grant = ToGrant(routes_, route, now);
    const auto* choice = std::get_if<RouteChoice>(&grant);
    if (choice != nullptr &&
        !routes_.TryStart(choice->server, route.isolated, now))
      grant = Refusal{RefusalReason::kNoBackendServer, RunState::kNotRun, {}};
    Settle(waiter, grant);
  }
}

void ServiceDispatcher::Settle(const WaiterPtr& waiter,
                               const SlotGrant& grant) {
  if (waiter->phase != Waiter::Phase::kWaiting)
    return;
  waiter->phase = Waiter::Phase::kSettled;
  asio::post(waiter->io, [waiter, grant] {
    waiter->grant = grant;
    waiter->wakeup.cancel();
  });
}

void ServiceDispatcher::SettleDrops(const std::vector<Queue::Drop>& drops) {
  for (const Queue::Drop& drop : drops)
    Settle(drop.entry.item, drop.refusal);
}

}  // namespace comfreyvane
