/// @file
/// A request that waits for a backend server.
#ifndef COMFREYVANE_GATEWAY_GATEWAY_WAITER_H_
#define COMFREYVANE_GATEWAY_GATEWAY_WAITER_H_

#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <optional>
#include <utility>

#include "comfreyvane/base/refusal.h"
#include "comfreyvane/edge/backend_choice.h"
#include "comfreyvane/edge/pick_request.h"

namespace comfreyvane {

/// A request that waits for a backend server. Its wake-up timer is cancelled
/// once `choice` or `refusal` is set.
struct GatewayWaiter {
  GatewayWaiter(boost::asio::io_context& io, PickRequest pick)
      : request(std::move(pick)), wakeup(io) {
    wakeup.expires_at(boost::asio::steady_timer::time_point::max());
  }

  PickRequest request;
  boost::asio::steady_timer wakeup;
  std::optional<BackendChoice> choice;
  std::optional<Refusal> refusal;
  bool is_reassigned = false;  ///< The request has to look for another way.
};

using GatewayWaiterPtr = std::shared_ptr<GatewayWaiter>;

}  // namespace comfreyvane

#endif  // COMFREYVANE_GATEWAY_GATEWAY_WAITER_H_
