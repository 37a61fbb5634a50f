/// @file
/// State of a host in the platform's list.
#ifndef COMFREYVANE_STORAGE_HOST_STATE_H_
#define COMFREYVANE_STORAGE_HOST_STATE_H_

namespace comfreyvane {

/// What the platform says of a host.
enum class HostState {
  kLive,
  kLeaving,
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_STORAGE_HOST_STATE_H_
