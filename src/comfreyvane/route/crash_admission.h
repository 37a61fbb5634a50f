/// @file
/// Admission decision of CrashGuard.
#ifndef COMFREYVANE_ROUTE_CRASH_ADMISSION_H_
#define COMFREYVANE_ROUTE_CRASH_ADMISSION_H_

namespace comfreyvane {

/// Admission decision of CrashGuard for a request.
enum class CrashAdmission {
  kUnrestricted,  ///< Not suspected.
  kIsolated,   ///< Suspected: only on a server without requests of this host.
  kContained,  ///< Must be refused.
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_ROUTE_CRASH_ADMISSION_H_
