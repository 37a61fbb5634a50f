/// @file
/// Assigns backend servers to requests.
#ifndef COMFREYVANE_GATEWAY_GATEWAY_DISPATCHER_H_
#define COMFREYVANE_GATEWAY_GATEWAY_DISPATCHER_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <optional>
#include <variant>

#include "comfreyvane/edge/admission_queue.h"
#include "comfreyvane/edge/carrier.h"
#include "comfreyvane/gateway/gateway_context.h"
#include "comfreyvane/gateway/gateway_request.h"
#include "comfreyvane/gateway/gateway_waiter.h"
#include "comfreyvane/net/async.h"
#include "comfreyvane/route/load_report.h"

namespace comfreyvane {

/// Assigns backend servers to requests, immediately or from a queue ordered by
/// urgency. Refuses requests that could not be served in time after waiting.
class GatewayDispatcher {
 public:
  /// The configuration has changed while the request was waiting.
  struct ConfigurationChanged {};
  using Grant =
      std::variant<BackendChoice, Carrier, Refusal, ConfigurationChanged>;

  GatewayDispatcher(GatewayContext& context, asio::io_context& io);

  /// Waits for a backend server, or selects a host that carries the request
  /// where this host does not reach the servers. A granted server counts as in
  /// use until Release is called.
  /// @param watch called with a function that cancels the wait, if the request
  ///     has to wait.
  /// @param unwatch called when the wait is over.
  [[nodiscard]] asio::awaitable<Grant> Acquire(
      const GatewayRequest& request,
      std::function<void(std::function<void()>)> watch,
      std::function<void()> unwatch);

  /// Releases a granted server and assigns it to waiting requests.
  void Release(const GatewayRequest& request,
               const BackendChoice& choice,
               RequestOutcome outcome,
               Duration latency,
               std::size_t answer_bytes,
               TimePoint now);

  /// Records the load that a server reports.
  void OnLoad(BackendServerId server, const LoadReport& report, TimePoint now);

  /// Assigns available servers to waiting requests and refuses those whose wait
  /// has expired. Must be called periodically.
  void OnTick(TimePoint now);

  /// Makes all waiting requests look for a way again, because this host has
  /// lost or regained its path to servers, or the configuration has changed.
  void Reassign();

  [[nodiscard]] std::size_t queued() const { return queue_.depth(); }

  /// @return how long a request would wait for a backend server.
  [[nodiscard]] Duration ExpectedWait(const GatewayRequest& request,
                                      TimePoint now) const;

 private:
  /// @return a grant or a refusal that needs no wait.
  [[nodiscard]] std::optional<Grant> GrantNow(const GatewayRequest& request,
                                              TimePoint now);
  /// @return a host that carries the request instead of the way to a server
  ///     that is not reached, or whose path was regained a short time ago.
  [[nodiscard]] std::optional<Carrier> CarrierFor(const GatewayRequest& request,
                                                  TimePoint now);
  [[nodiscard]] std::optional<Carrier> PickCarrier(
      const GatewayRequest& request,
      const PathGroup& group,
      TimePoint now) const;
  /// Picks a server and counts the request as running there.
  [[nodiscard]] std::optional<BackendChoice> TryStart(
      const PickRequest& request,
      TimePoint now);
  /// @return the refusal of a request that cannot wait for a server.
  [[nodiscard]] Refusal QueueRefusal(const GatewayRequest& request,
                                     TimePoint now) const;
  /// @return how long a request would wait for room under the request limits of
  ///     servers; zero if a server has none.
  [[nodiscard]] Duration LimitWaitOf(const PickRequest& request,
                                     TimePoint now) const;
  void DrainQueue(ServiceId service, TimePoint now);

  GatewayContext& context_;
  asio::io_context& io_;
  AdmissionQueue<GatewayWaiterPtr> queue_;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_GATEWAY_GATEWAY_DISPATCHER_H_
