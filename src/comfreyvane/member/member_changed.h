/// @file
/// Action: a member changed.
#ifndef COMFREYVANE_MEMBER_MEMBER_CHANGED_H_
#define COMFREYVANE_MEMBER_MEMBER_CHANGED_H_

#include "comfreyvane/base/basic_id.h"
#include "comfreyvane/base/incarnation.h"
#include "comfreyvane/member/member_state.h"

namespace comfreyvane {

/// The view holds a member in a new state or of a new incarnation.
struct MemberChanged {
  HostId host;
  Incarnation incarnation;
  MemberState state = MemberState::kSuspect;

  friend bool operator==(const MemberChanged&, const MemberChanged&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_MEMBER_MEMBER_CHANGED_H_
