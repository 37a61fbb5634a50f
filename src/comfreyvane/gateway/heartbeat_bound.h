/// @file
/// Bounds the size of a heartbeat.
#ifndef COMFREYVANE_GATEWAY_HEARTBEAT_BOUND_H_
#define COMFREYVANE_GATEWAY_HEARTBEAT_BOUND_H_

#include <cstddef>

#include "comfreyvane/gateway/heartbeat.h"

namespace comfreyvane {

/// Cuts the longest lists of a heartbeat until its text fits, so that the rest
/// arrives. The requests with the most crashes and the servers with the most
/// running requests are kept; requests for tokens take turns by the sequence.
/// Granted tokens, which exist nowhere else, are cut last.
/// @param max_bytes of the text.
/// @return number of rows that were cut.
std::size_t CutToFit(Heartbeat& heartbeat, std::size_t max_bytes);

}  // namespace comfreyvane

#endif  // COMFREYVANE_GATEWAY_HEARTBEAT_BOUND_H_
