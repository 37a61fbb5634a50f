/// @file
/// Carries out a planned stop of the gateway.
#ifndef COMFREYVANE_GATEWAY_STOP_DRIVER_H_
#define COMFREYVANE_GATEWAY_STOP_DRIVER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstddef>
#include <functional>

#include "comfreyvane/drain/stop_action.h"
#include "comfreyvane/gateway/gateway_context.h"
#include "comfreyvane/net/async.h"

namespace comfreyvane {

/// Carries out the actions of StopCore, from the signal to the exit.
class StopDriver {
 public:
  /// What the process does in a stop.
  struct Hooks {
    std::function<void(TimePoint)> announce;
    /// Accepts no more callers and hosts, and closes their idle connections.
    std::function<void()> stop_accepting;
    /// The same for look-ups, which are served as long as callers are.
    std::function<void()> stop_look_ups;
    /// Refuses waiting requests that cannot end in time any more.
    std::function<void(TimePoint)> refuse_hopeless;
    /// Answers what still runs.
    std::function<void()> give_up;
    std::function<void()> exit;
    /// Open connections of callers and hosts, and those of look-ups.
    std::function<std::size_t()> callers;
    std::function<std::size_t()> look_ups;
  };

  StopDriver(GatewayContext& context, asio::io_context& io, Hooks hooks);

  /// Starts the stop. Further calls have no effect.
  void Begin(TimePoint now);

 private:
  void Wait();
  void OnTick(TimePoint now);
  void Take(const StopActions& actions, TimePoint now);
  /// Tells the core how many connections are open. Look-ups end after callers.
  void CountConnections();

  GatewayContext& context_;
  asio::steady_timer timer_;
  Hooks hooks_;
  TimePoint begun_{};
  bool has_stopped_accepting_ = false;
  bool has_stopped_look_ups_ = false;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_GATEWAY_STOP_DRIVER_H_
