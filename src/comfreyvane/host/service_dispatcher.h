/// @file
/// Gives requests of one service their backend server and slot.
#ifndef COMFREYVANE_HOST_SERVICE_DISPATCHER_H_
#define COMFREYVANE_HOST_SERVICE_DISPATCHER_H_

#include <memory>
#include <mutex>
#include <span>
#include <vector>

#include "comfreyvane/fair/fair_queue.h"
#include "comfreyvane/host/waiter.h"
#include "comfreyvane/net/async.h"
#include "comfreyvane/route/hedge_policy.h"
#include "comfreyvane/route/retry_policy.h"
#include "comfreyvane/route/route_core.h"

namespace comfreyvane {

/// A shard of the host's state: routing, queue and retries of one service
/// under one lock. Safe for use by all threads.
class ServiceDispatcher {
 public:
  /// A workspace's part of scarce slots.
  struct Weight {
    WorkspaceId workspace;
    std::uint32_t weight = 1;
  };

  /// @param seed of the random choices.
  ServiceDispatcher(ServiceId service, std::uint64_t seed);

  /// Puts servers and weights of a configuration in force. A server that is
  /// gone or leaving gets no new work once this returns.
  void Configure(const std::vector<RouteServer>& servers,
                 std::span<const Weight> weights,
                 TimePoint now);

  /// Takes a slot if one is free and nobody waits. It has to be released.
  [[nodiscard]] std::optional<RouteChoice> TryAcquire(
      const DispatchRequest& request,
      TimePoint now);

  /// Waits for a slot until one is free, the deadline cannot be met, or the
  /// waiter is abandoned. A granted slot has to be released.
  /// @param waiter made for this call, of the calling thread's io_context.
  [[nodiscard]] asio::awaitable<SlotGrant> Wait(WaiterPtr waiter,
                                                TimePoint now);

  /// Ends the wait of a request that no longer wants a slot. Called from the
  /// thread that waits.
  void Abandon(const WaiterPtr& waiter, TimePoint now);

  /// Gives a slot back.
  /// @param held from grant to now.
  void Release(BackendServerId server,
               RequestOutcome outcome,
               Duration held,
               TimePoint now);

  /// Decides what follows a failed attempt.
  [[nodiscard]] RetryDecision DecideRetry(const Attempt& attempt,
                                          TimePoint now);

  /// Notes an answered request, which earns retries.
  void OnAnswered(bool idempotent, Duration latency);

  /// Refuses what is past its deadline and fills free slots.
  void OnTick(TimePoint now);

  /// Runs `work(RouteCore&)` under the lock, then fills free slots.
  template <typename Work>
  void WithRoutes(Work&& work, TimePoint now) {
    const std::lock_guard lock(mutex_);
    work(routes_);
    Pump(now);
  }

  [[nodiscard]] std::vector<ServerState> States(TimePoint now) const;
  [[nodiscard]] std::vector<ServerUse> Use() const;
  [[nodiscard]] std::size_t queued() const;

 private:
  using Queue = FairQueue<WaiterPtr>;

  void Pump(TimePoint now);
  static void Settle(const WaiterPtr& waiter, const SlotGrant& grant);
  static void SettleDrops(const std::vector<Queue::Drop>& drops);

  mutable std::mutex mutex_;
  RouteCore routes_;
  Queue queue_;
  RetryPolicy retries_;
  HedgePolicy hedges_;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_HOST_SERVICE_DISPATCHER_H_
