/// @file
/// Forward declarations of package edge.
#ifndef COMFREYVANE_EDGE_FWD_H_
#define COMFREYVANE_EDGE_FWD_H_

namespace comfreyvane {

struct BackendChoice;
struct BackendEntry;
struct BackendUse;
struct CallerLimits;
struct Carrier;
struct CrashCount;
struct EdgeRoute;
struct EdgeService;
struct EdgeWorkspace;
struct ExpectedAnswer;
struct FeedCall;
struct FleetHost;
struct LeavingReport;
struct LimitChange;
struct LimitRank;
struct LimitReport;
struct LimitedRoom;
struct NamedLimit;
struct ObjectHomes;
struct PathChange;
struct PathGroup;
struct PathReport;
struct PickRequest;
struct RelayAnswer;
struct RelayCall;
struct ServerLoad;
struct ServerNotice;
struct ServerSlot;
struct ServiceShare;
struct WaitTerms;
template <typename Item>
class AdmissionQueue;
class BackendPicker;
class BackendState;
class CarrierPicker;
class ConfigurationFreshness;
class EntryHistory;
class FeedLog;
class FeedRelay;
class FeedSchedule;
class FleetView;
class LatencyModel;
class LeavingServers;
class OverflowLimiter;
class PathMonitor;
class PeerUse;
class PoisonRequestTracker;
class RegistryTracker;
class RouteTable;
class SequenceWindow;
class ServerLimit;
class ServerSilence;
class ShareSplitter;
class TokenWaiters;
class WarmthModel;
class WorkspaceLimiter;

}  // namespace comfreyvane

#endif  // COMFREYVANE_EDGE_FWD_H_
