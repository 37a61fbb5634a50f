/// @file
/// Forward declarations of package host.
#ifndef COMFREYVANE_HOST_FWD_H_
#define COMFREYVANE_HOST_FWD_H_

namespace comfreyvane {

struct DispatchRequest;
struct HostContext;
struct RequestTerms;
struct Waiter;
class ActiveConfiguration;
class BackendAttempt;
class ControlLoop;
class CrashDesk;
class DispatcherTable;
class FreshnessGate;
class HostProcess;
class LookupDesk;
class OnceDesk;
class RequestHandler;
class ServiceDispatcher;
class StopGate;
class Worker;

}  // namespace comfreyvane

#endif  // COMFREYVANE_HOST_FWD_H_
