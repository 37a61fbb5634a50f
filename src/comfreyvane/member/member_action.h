/// @file
/// Actions of the membership core.
#ifndef COMFREYVANE_MEMBER_MEMBER_ACTION_H_
#define COMFREYVANE_MEMBER_MEMBER_ACTION_H_

#include <variant>
#include <vector>

#include "comfreyvane/member/member_changed.h"
#include "comfreyvane/member/self_resumed.h"
#include "comfreyvane/member/send_member_message.h"

namespace comfreyvane {

/// An action of the membership core.
using MemberAction =
    std::variant<SendMemberMessage, MemberChanged, SelfResumed>;

/// Actions in the order in which they are to be taken.
using MemberActions = std::vector<MemberAction>;

}  // namespace comfreyvane

#endif  // COMFREYVANE_MEMBER_MEMBER_ACTION_H_
