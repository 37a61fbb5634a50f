/// @file
/// Forward declarations of package gateway.
#ifndef COMFREYVANE_GATEWAY_FWD_H_
#define COMFREYVANE_GATEWAY_FWD_H_

namespace comfreyvane {

struct CallResult;
struct CarriedMark;
struct CarriedVerdict;
struct GatewayContext;
struct GatewayRequest;
struct GatewaySettings;
struct GatewayWaiter;
struct HeaderNames;
struct Heartbeat;
struct LookUpQuery;
class BackendClient;
class CarriedGuard;
class DependencyMonitor;
class GatewayDispatcher;
class GatewayHandler;
class GatewayState;
template <typename Codec>
class LookUpHandler;
template <typename Platform>
class GatewayProcess;
template <typename Platform>
class StoreFollower;
template <typename Platform>
class StoreRows;
class PathSupervisor;
class PeerLink;
class RelayAnswerCache;
class RelayClient;
class StopDriver;
class TableMonitor;
template <typename Relay, typename Requests>
class PeerHandler;
template <typename Source>
class RelayHandler;

}  // namespace comfreyvane

#endif  // COMFREYVANE_GATEWAY_FWD_H_
