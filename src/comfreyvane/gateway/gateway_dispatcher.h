/// @file
/// Gives requests their backend servers.
#ifndef COMFREYVANE_GATEWAY_GATEWAY_DISPATCHER_H_
#define COMFREYVANE_GATEWAY_GATEWAY_DISPATCHER_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <variant>

#include "comfreyvane/edge/admission_queue.h"
#include "comfreyvane/gateway/gateway_context.h"
#include "comfreyvane/gateway/gateway_request.h"
#include "comfreyvane/gateway/gateway_waiter.h"
#include "comfreyvane/net/async.h"
#include "comfreyvane/route/load_report.h"

namespace comfreyvane {

/// Gives requests their backend servers, at once or from a queue by urgency,
/// and refuses those for which waiting is pointless.
class GatewayDispatcher {
 public:
  using Grant = std::variant<BackendChoice, Refusal>;

  GatewayDispatcher(GatewayContext& context, asio::io_context& io);

  /// Waits for a backend server. The server is counted as in use once it is
  /// granted: call Release.
  /// @param watch called with a function that gives the wait up, if the request
  ///     has to wait.
  /// @param unwatch called when the wait is over.
  [[nodiscard]] asio::awaitable<Grant> Acquire(
      const GatewayRequest& request,
      std::function<void(std::function<void()>)> watch,
      std::function<void()> unwatch);

  /// Ends the use of a server.
  void Release(const GatewayRequest& request,
               const BackendChoice& choice,
               RequestOutcome outcome,
               Duration latency,
               std::size_t answer_bytes,
               TimePoint now);

  /// Takes in the load that a server reports.
  void OnLoad(BackendServerId server, const LoadReport& report, TimePoint now);

  /// Grants what can be granted and refuses what waited too long; to be called
  /// often.
  void OnTick(TimePoint now);

  [[nodiscard]] std::size_t queued() const { return queue_.depth(); }

 private:
  [[nodiscard]] std::optional<BackendChoice> TryTake(const PickRequest& request,
                                                     TimePoint now);
  [[nodiscard]] Refusal NoRoom(const GatewayRequest& request) const;
  void DrainQueue(ServiceId service, TimePoint now);

  GatewayContext& context_;
  asio::io_context& io_;
  AdmissionQueue<GatewayWaiterPtr> queue_;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_GATEWAY_GATEWAY_DISPATCHER_H_
