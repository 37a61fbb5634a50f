#include "comfreyvane/net/liveness_options.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace comfreyvane {
namespace {

/// Time after which the kernel gives up on bytes that were not acknowledged. It
/// also decides when keep-alive probes give up, whatever their number.
constexpr int kUnacknowledgedMs = 2000;

/// Keep-alive probes: after a second without traffic, each second, and two
/// without an answer end the connection.
constexpr int kProbeIdleSeconds = 1;
constexpr int kProbeIntervalSeconds = 1;
constexpr int kProbes = 2;

void SetOption(tcp::socket& socket, int level, int name, int value) {
  // Without the option only a timeout of the user notices a dead path.
  setsockopt(socket.native_handle(), level, name, &value, sizeof(value));
}

}  // namespace

void SetLivenessOptions(tcp::socket& socket) {
  error_code ignored;
  socket.set_option(tcp::no_delay(true), ignored);
  SetOption(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, kUnacknowledgedMs);
  SetOption(socket, SOL_SOCKET, SO_KEEPALIVE, 1);
  SetOption(socket, IPPROTO_TCP, TCP_KEEPIDLE, kProbeIdleSeconds);
  SetOption(socket, IPPROTO_TCP, TCP_KEEPINTVL, kProbeIntervalSeconds);
  SetOption(socket, IPPROTO_TCP, TCP_KEEPCNT, kProbes);
}

}  // namespace comfreyvane
