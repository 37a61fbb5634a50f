/// @file
/// What running a request at a backend server costs.
#ifndef COMFREYVANE_EDGE_SERVER_COST_H_
#define COMFREYVANE_EDGE_SERVER_COST_H_

#include "comfreyvane/base/time.h"
#include "comfreyvane/edge/server_slot.h"

namespace comfreyvane {

/// @return whether one more request would find a place at a server, in a slot
///     or in its queue.
[[nodiscard]] bool HasRoom(const ServerSlot& slot, TimePoint now);

/// @return the time that one more request would wait for a slot.
[[nodiscard]] Duration ExpectedWait(const ServerSlot& slot, TimePoint now);

/// @param answer_kb expected size of the answer, kilobytes.
/// @return what the way to a server costs, as milliseconds.
[[nodiscard]] double DistanceCost(Distance distance, double answer_kb);

/// @param expected time until the answer.
/// @return what a request at the server costs, as milliseconds, without the
///     way there.
[[nodiscard]] double ServerCost(const ServerSlot& slot,
                                Duration expected,
                                TimePoint now);

}  // namespace comfreyvane

#endif  // COMFREYVANE_EDGE_SERVER_COST_H_
