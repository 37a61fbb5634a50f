/// @file
/// Forward declarations of package steer.
#ifndef COMFREYVANE_STEER_FWD_H_
#define COMFREYVANE_STEER_FWD_H_

#include "comfreyvane/base/fwd.h"

namespace comfreyvane {

struct ResourceTag;
using ResourceId = BasicId<ResourceTag>;

class ClientAddress;
class ClientBlock;
enum class AddressError;
enum class AddressFamily : unsigned char;
struct BlockAssignment;
struct SiteState;
struct LookupMatch;
class BlockIndex;
class LookupTable;
class LookupTableBuilder;
enum class LookupError;
template <typename Key>
class RangeIndex;

class ShareMap;
class AnswerLedger;
class PositionWeights;
struct SiteAllocation;
struct ShareRun;
struct SiteShareBounds;
struct ShiftMove;
class ShiftPlan;
struct StepStart;
class ShiftCore;
struct ShiftSettings;
struct ShiftTarget;
struct ShiftProgress;
struct SiteMeasurement;
struct FleetProgress;
struct StepTaken;
struct ShiftPaused;
struct ShiftResumed;
struct ShiftCompleted;
enum class PauseReason;

class ExpiringSum;
class CapacityRamp;
class WorkspaceBalance;
class CapacityLedger;
struct HeadroomGrant;
struct SteeringPath;
struct Shortage;
enum class ShortageReason;

struct ResourceCapacity;
class Topology;
class SteeringCore;
struct HostView;
struct EntryHost;
struct LookupRequest;
struct ServiceDemand;
struct SteeringAnswer;
struct SteeringSettings;
struct SteeringDecision;
class HostSelector;
struct SteeringExplanation;
struct ShiftExplanation;
enum class SteeringRule;

}  // namespace comfreyvane

#endif  // COMFREYVANE_STEER_FWD_H_
