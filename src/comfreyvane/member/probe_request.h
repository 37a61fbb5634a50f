/// @file
/// Request to probe a silent member.
#ifndef COMFREYVANE_MEMBER_PROBE_REQUEST_H_
#define COMFREYVANE_MEMBER_PROBE_REQUEST_H_

#include "comfreyvane/base/incarnation.h"
#include "comfreyvane/member/member_rumour.h"

namespace comfreyvane {

/// Asks a member to probe another that the sender does not hear.
struct ProbeRequest {
  Incarnation incarnation;  ///< Of the sender.
  MemberRumour suspect;     ///< What the target is to refute.

  friend bool operator==(const ProbeRequest&, const ProbeRequest&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_MEMBER_PROBE_REQUEST_H_
