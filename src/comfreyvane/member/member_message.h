/// @file
/// Messages between membership cores.
#ifndef COMFREYVANE_MEMBER_MEMBER_MESSAGE_H_
#define COMFREYVANE_MEMBER_MEMBER_MESSAGE_H_

#include <variant>

#include "comfreyvane/member/heartbeat.h"
#include "comfreyvane/member/probe_request.h"
#include "comfreyvane/member/sync_reply.h"
#include "comfreyvane/member/sync_request.h"

namespace comfreyvane {

/// A message between membership cores. May be lost, repeated or reordered.
using MemberMessage =
    std::variant<Heartbeat, ProbeRequest, SyncRequest, SyncReply>;

}  // namespace comfreyvane

#endif  // COMFREYVANE_MEMBER_MEMBER_MESSAGE_H_
