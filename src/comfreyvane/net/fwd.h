/// @file
/// Forward declarations of package net.
#ifndef COMFREYVANE_NET_FWD_H_
#define COMFREYVANE_NET_FWD_H_

namespace comfreyvane {

struct HttpLimits;
struct BodyChunk;
class BackendConnection;
class BackendPool;
class PeerAuthenticator;
class TimeoutSweeper;
class Watchdog;
enum class ExchangeFailure;

}  // namespace comfreyvane

#endif  // COMFREYVANE_NET_FWD_H_
