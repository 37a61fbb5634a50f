/// @file
/// Forward declarations of package drain.
#ifndef COMFREYVANE_DRAIN_FWD_H_
#define COMFREYVANE_DRAIN_FWD_H_

namespace comfreyvane {

enum class StopPhase;
struct StopSettings;
struct StopTerms;
struct AnnounceLeaving;
struct StopAccepting;
struct ReturnLeases;
struct GiveUp;
struct CloseAll;
struct ServerDrained;
class StopCore;
class ServerDrainCore;

}  // namespace comfreyvane

#endif  // COMFREYVANE_DRAIN_FWD_H_
