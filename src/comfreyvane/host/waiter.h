/// @file
/// A request that waits for a slot.
#ifndef COMFREYVANE_HOST_WAITER_H_
#define COMFREYVANE_HOST_WAITER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <optional>
#include <variant>

#include "comfreyvane/base/refusal.h"
#include "comfreyvane/host/dispatch_request.h"
#include "comfreyvane/route/route_choice.h"

namespace comfreyvane {

/// A slot at a backend server, or why there is none.
using SlotGrant = std::variant<RouteChoice, Refusal>;

/// A request that waits for a slot. The dispatcher's lock guards `phase`; the
/// rest belongs to the request's thread.
struct Waiter {
  enum class Phase {
    kWaiting,
    kSettled,   ///< A grant or a refusal is on its way.
    kAbandoned  ///< The request no longer wants a slot.
  };

  Waiter(boost::asio::io_context& context, DispatchRequest wanted)
      : io(context), wakeup(context), request(std::move(wanted)) {
    wakeup.expires_at(boost::asio::steady_timer::time_point::max());
  }

  boost::asio::io_context& io;
  boost::asio::steady_timer wakeup;
  DispatchRequest request;
  Phase phase = Phase::kWaiting;
  std::optional<SlotGrant> grant;
};

using WaiterPtr = std::shared_ptr<Waiter>;

}  // namespace comfreyvane

#endif  // COMFREYVANE_HOST_WAITER_H_
