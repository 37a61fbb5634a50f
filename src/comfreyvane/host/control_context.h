/// @file
/// What the control thread's drivers share.
#ifndef COMFREYVANE_HOST_CONTROL_CONTEXT_H_
#define COMFREYVANE_HOST_CONTROL_CONTEXT_H_

#include "comfreyvane/host/host_context.h"
#include "comfreyvane/host/peer_directory.h"
#include "comfreyvane/net/http_platform.h"
#include "comfreyvane/net/timeout_sweeper.h"

namespace comfreyvane {

/// What the control thread's drivers share; used by that thread only.
struct ControlContext {
  HostContext& host;
  asio::io_context& io;
  TimeoutSweeper& sweeper;
  HttpPlatform& platform;
  PeerDirectory& peers;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_HOST_CONTROL_CONTEXT_H_
