/// @file
/// Forward declarations of package route.
#ifndef COMFREYVANE_ROUTE_FWD_H_
#define COMFREYVANE_ROUTE_FWD_H_

namespace comfreyvane {

class ConnectionMonitor;
class CrashGuard;
class HedgePolicy;
class LatencyHistogram;
class ProbePlanner;
class RetryBudget;
class RetryPolicy;
class RouteCore;
class ServerRecord;
class ServerSubset;
enum class AttemptOutcome;
enum class ChoiceReason;
enum class CrashAdmission;
enum class Distance;
enum class EjectionReason;
enum class ProbeOutcome;
enum class RequestOutcome;
struct Attempt;
struct CheckServer;
struct CloseConnection;
struct ConnectionLimits;
struct ConnectionTag;
struct CrashEvidence;
struct CrashLimits;
struct FailAttempt;
struct FailRequest;
struct LoadReport;
struct PeerUse;
struct ProbeBudget;
struct ProbeTarget;
struct Retry;
struct RetryLimits;
struct RouteChoice;
struct RouteLimits;
struct RouteRequest;
struct RouteServer;
struct ServerQuota;
struct ServerState;
struct ServerUse;
struct SiteWeight;
struct SubsetHost;
struct SubsetServer;
struct SuspectCleared;

}  // namespace comfreyvane

#endif  // COMFREYVANE_ROUTE_FWD_H_
