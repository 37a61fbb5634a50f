/// @file
/// Socket options by which a dead path is noticed.
#ifndef COMFREYVANE_NET_LIVENESS_OPTIONS_H_
#define COMFREYVANE_NET_LIVENESS_OPTIONS_H_

#include "comfreyvane/net/async.h"

namespace comfreyvane {

/// Sends small writes at once, and lets the kernel end the connection when the
/// other end stays silent for about two seconds, idle or not.
void SetLivenessOptions(tcp::socket& socket);

}  // namespace comfreyvane

#endif  // COMFREYVANE_NET_LIVENESS_OPTIONS_H_
