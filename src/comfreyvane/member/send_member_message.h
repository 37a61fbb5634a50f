/// @file
/// Action: send a membership message.
#ifndef COMFREYVANE_MEMBER_SEND_MEMBER_MESSAGE_H_
#define COMFREYVANE_MEMBER_SEND_MEMBER_MESSAGE_H_

#include "comfreyvane/base/basic_id.h"
#include "comfreyvane/member/member_message.h"

namespace comfreyvane {

/// Send a message to a member; its address is in the view.
struct SendMemberMessage {
  HostId to;
  MemberMessage message;

  friend bool operator==(const SendMemberMessage&,
                         const SendMemberMessage&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_MEMBER_SEND_MEMBER_MESSAGE_H_
