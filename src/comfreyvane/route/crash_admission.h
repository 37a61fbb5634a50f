/// @file
/// How a request may run in view of crashes.
#ifndef COMFREYVANE_ROUTE_CRASH_ADMISSION_H_
#define COMFREYVANE_ROUTE_CRASH_ADMISSION_H_

namespace comfreyvane {

/// How a request may run in view of crashes.
enum class CrashAdmission {
  kUnrestricted,  ///< Like any other.
  kIsolated,   ///< A suspect: on a server that runs nothing else of this host.
  kContained,  ///< Not at all.
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_ROUTE_CRASH_ADMISSION_H_
