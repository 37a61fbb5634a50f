/// @file
/// Forward declarations of package gateway.
#ifndef COMFREYVANE_GATEWAY_FWD_H_
#define COMFREYVANE_GATEWAY_FWD_H_

namespace comfreyvane {

struct CallResult;
struct GatewayContext;
struct GatewayRequest;
struct GatewaySettings;
struct HeaderDialect;
struct LookUpQuery;
class BackendCall;
class GatewayDispatcher;
class GatewayHandler;
class LookUpHandler;
class PeerLink;

}  // namespace comfreyvane

#endif  // COMFREYVANE_GATEWAY_FWD_H_
