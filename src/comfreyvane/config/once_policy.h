/// @file
/// How a service runs a request at most once.
#ifndef COMFREYVANE_CONFIG_ONCE_POLICY_H_
#define COMFREYVANE_CONFIG_ONCE_POLICY_H_

namespace comfreyvane {

/// Where the record that keeps a non-idempotent request from running twice is
/// held.
enum class OncePolicy {
  kHostRecord,   ///< In the host that the caller was sent to; needs no store.
  kStoreRecord,  ///< In the table service; waits while that is down.
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_CONFIG_ONCE_POLICY_H_
