/// @file
/// Settings of the membership core.
#ifndef COMFREYVANE_MEMBER_MEMBER_SETTINGS_H_
#define COMFREYVANE_MEMBER_MEMBER_SETTINGS_H_

#include <cstddef>

#include "comfreyvane/base/incarnation.h"
#include "comfreyvane/base/time.h"
#include "comfreyvane/member/host_descriptor.h"

namespace comfreyvane {

/// Settings of the membership core.
struct MemberSettings {
  HostDescriptor self;
  Incarnation incarnation;  ///< Of this process; more than zero.
  Duration heartbeat_period = std::chrono::milliseconds(250);
  Duration suspect_after = std::chrono::milliseconds(900);  ///< Of silence.
  Duration dead_after = std::chrono::milliseconds(800);     ///< Of suspicion.
  /// A gap between two ticks that counts as a pause of this process.
  Duration pause_threshold = std::chrono::milliseconds(700);
  /// How long a member that was dead is heard before it is live again; doubles
  /// with each further death, up to readmit_most.
  Duration readmit_after = std::chrono::milliseconds(500);
  Duration readmit_most = std::chrono::seconds(16);
  Duration forget_after = std::chrono::minutes(10);  ///< Dead and unlisted.

  friend bool operator==(const MemberSettings&,
                         const MemberSettings&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_MEMBER_MEMBER_SETTINGS_H_
