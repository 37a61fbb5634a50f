/// @file
/// Cost of a request at a backend server.
#ifndef COMFREYVANE_EDGE_SERVER_COST_H_
#define COMFREYVANE_EDGE_SERVER_COST_H_

#include "comfreyvane/base/time.h"
#include "comfreyvane/edge/server_slot.h"

namespace comfreyvane {

/// @return whether a server can accept one more request, in a slot or in its
///     queue.
[[nodiscard]] bool HasRoom(const ServerSlot& slot, TimePoint now);

/// @return the expected time that one more request waits for a slot.
[[nodiscard]] Duration ExpectedWait(const ServerSlot& slot, TimePoint now);

/// @param answer_kb expected size of the answer, kilobytes.
/// @return the cost of the network path to a server, milliseconds.
[[nodiscard]] double DistanceCost(Distance distance, double answer_kb);

/// @param expected time until the answer.
/// @return the cost of a request at the server without the network path,
///     milliseconds. Negative for a new server at its initial senders.
[[nodiscard]] double ServerCost(const ServerSlot& slot,
                                Duration expected,
                                TimePoint now);

}  // namespace comfreyvane

#endif  // COMFREYVANE_EDGE_SERVER_COST_H_
