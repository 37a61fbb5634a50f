/// @file
/// Who may use a service.
#ifndef COMFREYVANE_CONFIG_ACCESS_POLICY_H_
#define COMFREYVANE_CONFIG_ACCESS_POLICY_H_

namespace comfreyvane {

/// Who may use a service.
enum class AccessPolicy {
  kKeyed,  ///< Only callers with a key of a workspace.
  kOpen,   ///< Everyone; no key needed.
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_CONFIG_ACCESS_POLICY_H_
