/// @file
/// Identifier of a connection within this process.
#ifndef COMFREYVANE_ROUTE_CONNECTION_ID_H_
#define COMFREYVANE_ROUTE_CONNECTION_ID_H_

#include "comfreyvane/base/basic_id.h"

namespace comfreyvane {

struct ConnectionTag;

/// Identifier of a connection. A process never reuses one.
using ConnectionId = BasicId<ConnectionTag>;

}  // namespace comfreyvane

#endif  // COMFREYVANE_ROUTE_CONNECTION_ID_H_
